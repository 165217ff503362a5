#pragma once

#include "measure/cost.h"
#include "measure/fleet.h"
#include "measure/measurements.h"
#include "measure/series.h"
