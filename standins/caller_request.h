#ifndef STANDIN_CALLER_REQUEST_H
#define STANDIN_CALLER_REQUEST_H

#include "standins/caller.h"
#include "types/request.h"

/* One request of a caller, from its first sending to its last answer.  */

/* All requests of a run.  */
struct caller
{
  const struct caller_settings *settings; /* what to do */
  struct caller_totals *totals;           /* what came of it */
  struct http http;                       /* the client */
  GMainLoop *loop;                        /* runs until all have ended */
  GRand *rand;                            /* draws the keys */
  guint32 sent;                           /* requests begun */
  guint32 active;                         /* requests under way */
  guint64 run;                            /* number of this run, for ids */
};

/* One request.  */
struct caller_request
{
  struct caller *caller;    /* its run */
  struct handle call;       /* the HTTP call */
  char id[REQUEST_ID_SIZE]; /* its id */
  gint64 begun;             /* when it was sent */
  gint64 left;              /* bytes of the upload to write */
  guint32 serial;           /* its number, which fills the upload */
  guint status;             /* of the answer */
  enum outcome outcome;     /* of the answer */
  gboolean has_outcome;     /* the answer names one */
  enum reason reason;       /* of the answer */
  char *path;               /* path and query */
  char *stamp;              /* stamp that it is sent under, or NULL */
  char *offered;            /* stamp that the answer offers, or NULL */
  guint32 sendings;         /* times it was sent */
  GString *body;            /* of the answer */
  GChecksum *digest;        /* of what was sent */
};

void caller_request_new (struct caller *caller, char *path);
void caller_next (struct caller *caller);

#endif
