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
  struct http http_client;                /* HTTP client */
  GMainLoop *loop;       /* runs until all requests have ended */
  GRand *random;         /* generator for the key numbers */
  guint32 started_count; /* requests started, each counted once */
  guint32 active_count;  /* requests in flight or waiting for a pause */
  guint64 run_id;        /* random part of all request ids of the run */
};

/* One request.  */
struct caller_request
{
  struct caller *caller;    /* run that the request belongs to */
  struct handle call;       /* HTTP call in progress */
  char id[REQUEST_ID_SIZE]; /* request id */
  gint64 started_at;        /* time when it was first sent, monotonic usec */
  gint64 upload_left;       /* bytes of the upload not written yet */
  guint32 serial;           /* number in the run; chooses the upload's bytes */
  guint answer_status;      /* HTTP status of the answer */
  enum outcome answer_outcome; /* outcome that the answer names */
  gboolean has_answer_outcome; /* the answer names an outcome */
  enum reason answer_reason;   /* reason that the answer names */
  char *path;                  /* path and query */
  char *stamp;                 /* stamp that the request carries, or NULL */
  char *offered_stamp;         /* stamp that the answer offers, or NULL */
  guint32 send_count;          /* times that the request was sent */
  GString *answer_body;        /* beginning of the answer's body */
  GChecksum *upload_digest;    /* SHA-256 of the bytes uploaded */
};

void caller_request_new (struct caller *caller, char *path);
void caller_send_next (struct caller *caller);

#endif
