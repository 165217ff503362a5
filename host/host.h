#pragma once

#include "host/host_daemon.h"
#include "host/host_options.h"
