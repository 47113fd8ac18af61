#ifndef STANDIN_BACK_SERVER_H
#define STANDIN_BACK_SERVER_H

#include "edge/http.h"
#include "types/fence.h"

#include <libsoup/soup.h>
#include <stdio.h>

/* A stand-in for a backend server, as docs/PLATFORM.md describes one, with
   switches that make it fail.  It writes every request that it runs to a
   record file, which standins/checker.h checks after the run.  */

struct back_settings
{
  struct address listen_address; /* address that the server listens on */
  struct address node_address;   /* node on the same host, port 0 for none */
  const char *name;              /* name in announcements and answers */
  const char *record_path;       /* path of the record file, or NULL */
  guint32 slot_count;            /* requests that may run at the same time */
  guint run_msec;                /* time that a request runs, ms */
  gboolean checks_fences;        /* refuses old fences and expired leases */
  guint load_report_msec;        /* time between updates of the load report */
  guint warmup_msec;             /* initial phase of ten times slower runs */
};

struct back_server
{
  struct back_settings settings; /* as started; control calls set run_msec */
  SoupServer *http_server;       /* HTTP server for requests and control */
  struct http http_client;       /* HTTP client for the announcements */
  GHashTable *newest_fences;     /* slice + 1 to its newest struct fence */
  FILE *record_file;             /* record file, open to append, or NULL */
  guint32 busy_count;            /* requests that run now */
  guint32 reported_busy_count;   /* busy_count as the load report gives it */
  gint64 started_at;             /* time of the start, monotonic usec */
  gboolean unresponsive;         /* requests run, but are not answered */
  gint64 control_set_at;         /* last control request, monotonic usec */
};

enum err back_server_init (struct back_server *back,
                           const struct back_settings *settings);
void back_server_clear (struct back_server *back);

#endif
