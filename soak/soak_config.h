#ifndef SOAK_CONFIG_H
#define SOAK_CONFIG_H

#include "soak/soak_cold.h"

/* The end of all names.  With it a name is about as long as a DNS name may be,
   so that each run shows that names pass whole from the store to a server.  */
#define TEN_LETTERS "abcdefghij"
#define HUNDRED_LETTERS                                                       \
  TEN_LETTERS TEN_LETTERS TEN_LETTERS TEN_LETTERS TEN_LETTERS TEN_LETTERS     \
      TEN_LETTERS TEN_LETTERS TEN_LETTERS TEN_LETTERS
#define SOAK_NAME_END                                                         \
  "-" HUNDRED_LETTERS HUNDRED_LETTERS TEN_LETTERS TEN_LETTERS TEN_LETTERS

#define SOAK_SHARDED_SERVICE "own" SOAK_NAME_END
#define SOAK_OTHER_SERVICE "other" SOAK_NAME_END
#define SOAK_HOST_HEADER "soak" SOAK_NAME_END

/* The cells of a service whose servers are cold after a start.  */
#define COLD_CELLS                                                            \
  G_STRINGIFY (SOAK_COLD_START_S) "," G_STRINGIFY (SOAK_COLD_PER_S)

/* The configuration: one service that is divided by key, whose servers are
   cold after a start, and one that is not.  */
#define SOAK_CONFIG                                                           \
  "{\"version\":\"r1\",\"services\":{\"columns\":[\"name\",\"sharded\","      \
  "\"cold-start-s\",\"cold-per-s\"],\"rows\":[[\"" SOAK_SHARDED_SERVICE       \
  "\",true," COLD_CELLS "],[\"" SOAK_OTHER_SERVICE                            \
  "\",false,0,0]]},\"routes\":{\"columns\":"                                  \
  "[\"name\",\"host\",\"path-prefix\",\"route-type\",\"service\","            \
  "\"priority\",\"timeout-ms\",\"max-attempts\"],\"rows\":"                   \
  "[[\"a\",\"" SOAK_HOST_HEADER                                               \
  "\",\"/own/\",\"idempotent\",\"" SOAK_SHARDED_SERVICE "\",1,1500,2],"       \
  "[\"b\",\"" SOAK_HOST_HEADER                                                \
  "\",\"/once/\",\"non_idempotent\",\"" SOAK_OTHER_SERVICE "\",1,1500,1]]}}"

#endif
