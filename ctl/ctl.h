#pragma once

#include "ctl/admin_commands.h"
#include "ctl/command_result.h"
#include "ctl/config_check.h"
#include "ctl/entry_commands.h"
#include "ctl/report_format.h"
