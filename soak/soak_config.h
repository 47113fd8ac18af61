#ifndef SOAK_CONFIG_H
#define SOAK_CONFIG_H

#include "soak/soak_cold.h"

/* The cells of a service whose servers are cold after a start.  */
#define COLD_CELLS                                                            \
  G_STRINGIFY (SOAK_COLD_START_S) "," G_STRINGIFY (SOAK_COLD_PER_S)

/* The configuration: one service that is divided by key, whose servers are
   cold after a start, and one that is not.  */
#define SOAK_CONFIG                                                           \
  "{\"version\":\"r1\",\"services\":{\"columns\":[\"name\",\"sharded\","      \
  "\"cold-start-s\",\"cold-per-s\"],\"rows\":[[\"own\",true," COLD_CELLS      \
  "],[\"other\",false,0,0]]},\"routes\":{\"columns\":"                        \
  "[\"name\",\"host\",\"path-prefix\",\"route-type\",\"service\","            \
  "\"priority\",\"timeout-ms\",\"max-attempts\"],\"rows\":"                   \
  "[[\"a\",\"soak\",\"/own/\",\"idempotent\",\"own\",1,1500,2],"              \
  "[\"b\",\"soak\",\"/once/\",\"non_idempotent\",\"other\",1,1500,1]]}}"

#endif
