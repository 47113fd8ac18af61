#ifndef SOAK_OWNERS_H
#define SOAK_OWNERS_H

#include "soak/soak_cluster.h"

/* The check that no key has two holders.  */

void soak_owners_check (struct soak_cluster *cluster, gint64 now);

#endif
