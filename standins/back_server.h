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
  struct address listen_address; /* where it listens */
  struct address node_address;   /* the node beside it, port 0 for none */
  const char *name;              /* its name */
  const char *record_path;       /* file for its records, or NULL */
  guint32 slot_count;            /* requests it runs at once */
  guint run_msec;                /* how long a request runs */
  gboolean checks_fences;        /* refuses old fences and lapsed leases */
  guint load_report_msec;        /* its load report is so old */
  guint warmup_msec; /* while cold, requests run ten times as long */
};

struct back_server
{
  struct back_settings settings; /* as started */
  SoupServer *http_server;       /* the HTTP server */
  struct http http_client;       /* announces itself */
  GHashTable *newest_fences;     /* slice to struct fence: highest seen */
  FILE *record_file;             /* records of requests, or NULL */
  guint32 busy_count;            /* requests running */
  guint32 reported_busy_count;   /* what the load report says */
  gint64 started_at;             /* when it started, monotonic usec */
  gboolean unresponsive;         /* answers nothing on connections open now */
  gint64 control_set_at;         /* since when */
};

enum err back_server_init (struct back_server *back,
                           const struct back_settings *settings);
void back_server_clear (struct back_server *back);

#endif
