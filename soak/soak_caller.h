#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "edge/http.h"
#include "soak/soak_book.h"
#include "types/limits.h"

/* One request of a caller, on its way.  */

struct soak_caller
{
  struct soak_book *book; /* told how it ended */
  char id[REQUEST_ID_SIZE];
  guint status;       /* of the answer, 0 before it */
  gboolean stamped;   /* the answer bears a server's stamp */
  GByteArray *answer; /* its body */
};

/* What a caller asks for.  */
struct soak_ask
{
  struct address node; /* where it enters */
  const char *id;      /* its id */
  gboolean once;       /* it must run at most once, and has a body */
  guint32 key;         /* its key, unless it must run once */
};

void soak_caller_send (struct soak_book *book, struct http *http,
                       const struct soak_ask *ask);

#endif
