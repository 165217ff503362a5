#pragma once

#include "entry/dispatcher_links.h"
#include "entry/entry_hooks.h"
