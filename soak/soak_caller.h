#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "edge/http.h"
#include "soak/soak_checker.h"
#include "types/limits.h"

/* One request of a caller, on its way.  */

struct soak_caller
{
  struct soak_checker *checker; /* told how it ended */
  char request_id[REQUEST_ID_SIZE];
  guint answer_status;     /* of the answer, 0 before it */
  gboolean has_stamp;      /* the answer bears a server's stamp */
  GByteArray *answer_body; /* its body */
};

/* What a caller asks for.  */
struct soak_caller_request
{
  struct address node_address; /* where it enters */
  const char *request_id;      /* its id */
  gboolean at_most_once;       /* it must run at most once, and has a body */
  guint32 shard_key;           /* its key, unless it must run once */
};

void soak_caller_send (struct soak_checker *book, struct http *http,
                       const struct soak_caller_request *ask);

#endif
