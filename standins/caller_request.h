#ifndef STANDIN_CALLER_REQUEST_H
#define STANDIN_CALLER_REQUEST_H

#include "standins/caller.h"
#include "types/request.h"

/* One request of the caller stand-in, from the first time it is sent to its
   last answer.  */

/* One run of the caller stand-in.  */
struct caller
{
  const struct caller_settings *settings; /* settings of the run */
  struct caller_totals *totals;           /* counts of the results */
  struct http http;                       /* HTTP client */
  GMainLoop *loop; /* main loop, runs until all requests have ended */
  GRand *rand;     /* generator for the key numbers */
  guint32 sent;    /* requests started, each counted once */
  guint32 active;  /* requests in flight or waiting for a pause */
  guint64 run; /* random number that makes request ids unique across runs */
};

/* One request.  */
struct caller_request
{
  struct caller *caller;    /* run that the request belongs to */
  struct handle call;       /* HTTP call in progress */
  char id[REQUEST_ID_SIZE]; /* request id */
  gint64 begun;             /* time when it was first sent, monotonic usec */
  gint64 left;              /* bytes of the upload not written yet */
  guint32 serial; /* number of the request in the run; selects the byte that
                     fills the upload */
  guint status;   /* HTTP status of the answer */
  enum outcome outcome; /* outcome that the answer names */
  gboolean has_outcome; /* the answer names an outcome */
  enum reason reason;   /* reason that the answer names */
  char *path;           /* path and query */
  char *stamp;          /* stamp that the request carries, or NULL */
  char *offered;        /* stamp that the answer offers, or NULL */
  guint32 sendings;     /* times that the request was sent */
  GString *body;        /* beginning of the answer's body */
  GChecksum *digest;    /* SHA-256 of the bytes uploaded */
};

void caller_request_new (struct caller *caller, char *path);
void caller_next (struct caller *caller);

#endif
