#pragma once

#include "core/enum_names.h"
#include "core/result.h"
