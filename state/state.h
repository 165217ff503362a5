#pragma once

#include "state/cluster_view.h"
#include "state/ownership.h"
