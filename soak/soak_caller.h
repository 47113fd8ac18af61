#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "edge/http.h"
#include "soak/soak_book.h"
#include "types/limits.h"

/* One request of a simulated caller.  */

struct soak_caller
{
  struct soak_book *book; /* checker that is told how the request ended */
  char id[REQUEST_ID_SIZE];
  guint status;       /* HTTP status of the answer, 0 before it */
  gboolean stamped;   /* the answer has the stamp of a server */
  GByteArray *answer; /* body of the answer */
};

/* The parameters of a request.  */
struct soak_ask
{
  struct address node; /* address where the node takes requests */
  const char *id;      /* request id */
  gboolean once;       /* the request may run at most once, and has a body */
  guint32 key;         /* key of the request, unused if at_most_once */
};

void soak_caller_send (struct soak_book *checker, struct http *http,
                       const struct soak_ask *parameters);

#endif
