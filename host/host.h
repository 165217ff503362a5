#pragma once

#include "host/caller_directory.h"
#include "host/file_watcher.h"
#include "host/host_daemon.h"
#include "host/host_options.h"
#include "host/record_applier.h"
