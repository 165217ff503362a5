#pragma once

#include "load/connection_pool.h"
#include "load/entry_locator.h"
#include "load/load_error.h"
#include "load/load_generator.h"
#include "load/load_report.h"
#include "load/profile_mix.h"
