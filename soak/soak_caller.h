#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "edge/http.h"
#include "soak/soak_checker.h"
#include "types/limits.h"

/* One request of a simulated caller.  */

#define SOAK_ONCE_BODY "a body that must arrive once" /* of POST requests */

struct soak_caller
{
  struct soak_checker *checker;     /* records the end of the request */
  struct http *http;                /* client that sends the request */
  struct handle call;               /* its call */
  guint break_timer;                /* source id of the timer that breaks the
                                       request off, 0: none */
  char request_id[REQUEST_ID_SIZE]; /* request id */
  guint answer_status;     /* HTTP status of the answer, 0 before it */
  gboolean has_stamp;      /* the answer has the stamp of a server */
  GByteArray *answer_body; /* body of the answer */
};

/* The parameters of a request.  */
struct soak_caller_request
{
  struct address node_address; /* address where the node takes requests */
  const char *request_id;      /* request id */
  gboolean at_most_once; /* the request may run at most once, and has a body */
  gboolean breaks_off;   /* the caller leaves before the end of the body; for
                            at_most_once */
  guint32 shard_key;     /* key of the request, unused if at_most_once */
};

void soak_caller_send (struct soak_checker *checker, struct http *http,
                       const struct soak_caller_request *parameters);

#endif
