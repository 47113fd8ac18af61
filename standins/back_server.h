#ifndef STANDIN_BACK_SERVER_H
#define STANDIN_BACK_SERVER_H

#include "edge/http.h"
#include "types/fence.h"

#include <libsoup/soup.h>
#include <stdio.h>

/* A backend server, as docs/PLATFORM.md describes it, with switches for its
   faults.  It records each request that it runs, for checks afterwards.  */

struct back_settings
{
  struct address at;      /* where it listens */
  struct address node;    /* the node beside it, port 0 for none */
  const char *name;       /* its name */
  const char *record;     /* file for its records, or NULL */
  guint32 slots;          /* requests it runs at once */
  guint run_msec;         /* how long a request runs */
  gboolean checks_fences; /* refuses old fences and lapsed leases */
  guint load_lag_msec;    /* its load report is so old */
  guint cold_msec;        /* while cold, requests run ten times as long */
};

struct back_server
{
  struct back_settings settings; /* as started */
  SoupServer *server;            /* the HTTP server */
  struct http http;              /* announces itself */
  GHashTable *fences;            /* slice to struct fence: highest seen */
  FILE *record;                  /* records of requests, or NULL */
  guint32 busy;                  /* requests running */
  guint32 reported_busy;         /* what the load report says */
  gint64 started;                /* when it started, monotonic usec */
  gboolean silent;               /* answers nothing on connections open now */
  gint64 silent_since;           /* since when */
};

enum err back_server_init (struct back_server *back,
                           const struct back_settings *settings);
void back_server_clear (struct back_server *back);

#endif
