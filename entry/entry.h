#pragma once

#include "entry/dispatcher_link_pool.h"
#include "entry/entry_hooks.h"
#include "entry/entry_server.h"
#include "entry/naive_executor.h"
#include "entry/query_executor.h"
