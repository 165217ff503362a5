#pragma once

#include "state/cluster_view.h"
#include "state/config_store.h"
#include "state/gossip_table.h"
#include "state/ownership.h"
#include "state/view_store.h"
