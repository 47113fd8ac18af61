#include "standins/caller.h"

#include "edge/headers.h"

#include <stdio.h>
#include <string.h>

#define UPLOAD_PART_BYTES 65536 /* an upload is written in such parts */

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
  GString *body;            /* of the answer */
  GChecksum *digest;        /* of what was sent */
};

static void send_next (struct caller *caller);

/* Uploads */

/* Write more of the upload while little is queued.  */
static void
write_upload (struct caller_request *request)
{
  struct http *http = &request->caller->http;
  static guint8 part[UPLOAD_PART_BYTES];

  memset (part, (int)('a' + request->serial % 26), sizeof part);
  while (request->left > 0
         && http_unsent (http, request->call) < UPLOAD_PART_BYTES)
    {
      gsize count = (gsize)MIN (request->left, UPLOAD_PART_BYTES);
      g_checksum_update (request->digest, part, (gssize)count);
      http_write (http, request->call, part, count);
      request->left -= (gint64)count;
    }
  if (request->left == 0)
    http_finish (http, request->call);
}

/* Answers */

/* Tell whether the answer is to this very request.  */
static gboolean
is_own_answer (const struct caller_request *request)
{
  const char *sha = strstr (request->body->str, "sha256=");
  const char *id = strstr (request->body->str, "id=");

  if (id == NULL || sha == NULL)
    return TRUE;
  return strncmp (id + 3, request->id, strlen (request->id)) == 0
         && strncmp (sha + 7, g_checksum_get_string (request->digest), 64)
                == 0;
}

/* Count a whole answer.  */
static void
count_answer (struct caller_request *request, gint64 usec)
{
  struct caller_totals *totals = request->caller->totals;

  if (request->has_outcome && request->outcome == OUTCOME_NOT_RUN)
    totals->not_run++;
  else if (request->has_outcome && request->outcome == OUTCOME_UNKNOWN)
    totals->unknown++;
  else if (request->status != SOUP_STATUS_OK)
    totals->other++;
  else if (!is_own_answer (request))
    totals->crossed++;
  else
    {
      totals->done++;
      g_array_append_val (totals->usec, usec);
    }
}

/* A request has ended.  */
static void
finish (struct caller_request *request, const struct http_event *event)
{
  struct caller *caller = request->caller;
  gint64 usec = g_get_monotonic_time () - request->begun;

  if (event->code != ERR_NONE)
    caller->totals->broken++;
  else
    count_answer (request, usec);
  if (!caller->settings->quiet)
    printf ("%s status=%u error=%s usec=%" G_GINT64_FORMAT " %s", request->id,
            request->status, err_name (event->code), usec,
            request->body->len > 0 ? request->body->str : "\n");
  g_string_free (request->body, TRUE);
  g_checksum_free (request->digest);
  g_free (request);
  caller->active--;
  send_next (caller);
}

/* Take in the head of an answer.  */
static void
take_head (struct caller_request *request, const struct http_event *event)
{
  const char *outcome
      = soup_message_headers_get_one (event->headers, HEADER_OUTCOME);
  int i;

  request->status = event->status;
  for (i = OUTCOME_DONE; outcome != NULL && i <= OUTCOME_UNKNOWN; i++)
    if (strcmp (outcome, outcome_name ((enum outcome)i)) == 0)
      {
        request->outcome = (enum outcome)i;
        request->has_outcome = TRUE;
      }
}

/* Something happened to a request.  */
static void
on_event (const struct http_event *event, gpointer data)
{
  struct caller_request *request = data;

  switch (event->kind)
    {
    case HTTP_HEAD:
      take_head (request, event);
      break;
    case HTTP_DATA:
      if (request->body->len < UPLOAD_PART_BYTES)
        g_string_append_len (request->body, (const char *)event->bytes,
                             (gssize)event->count);
      break;
    case HTTP_FLUSH:
      break;
    case HTTP_DRAINED:
      write_upload (request);
      break;
    case HTTP_ENDED:
      finish (request, event);
      break;
    }
}

/* Requests */

/* The path of the next request; free it with g_free.  */
static char *
next_path (struct caller *caller)
{
  const struct caller_settings *settings = caller->settings;
  const char *mark = strchr (settings->path, '%');

  if (mark == NULL || settings->keys == 0)
    return g_strdup (settings->path);
  return g_strdup_printf (
      "%.*s%u%s", (int)(mark - settings->path), settings->path,
      g_rand_int_range (caller->rand, 0, (gint32)settings->keys), mark + 1);
}

/* Send one request.  */
static void
send_one (struct caller *caller)
{
  const struct caller_settings *settings = caller->settings;
  struct caller_request *request = g_new0 (struct caller_request, 1);
  struct http_request http = { 0 };
  char *path = next_path (caller);

  request->caller = caller;
  request->serial = caller->sent++;
  request->begun = g_get_monotonic_time ();
  request->left = settings->upload;
  request->body = g_string_new (NULL);
  request->digest = g_checksum_new (G_CHECKSUM_SHA256);
  g_snprintf (request->id, sizeof request->id, "%" G_GINT64_MODIFIER "x-%u",
              caller->run, request->serial);
  http.to = settings->node;
  http.method = settings->method;
  http.target = path;
  http.headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  http.length = settings->upload;
  http.deadline = request->begun + settings->timeout_usec;
  soup_message_headers_append (http.headers, HEADER_ID, request->id);
  caller->active++;
  request->call = http_start (&caller->http, &http, on_event, request);
  write_upload (request);
  soup_message_headers_unref (http.headers);
  g_free (path);
}

/* Tell whether another request is to be sent.  */
static gboolean
wants_more (const struct caller *caller)
{
  if (caller->settings->until != 0)
    return g_get_monotonic_time () < caller->settings->until;
  return caller->sent < caller->settings->count;
}

/* The pause between two requests is over.  */
static gboolean
on_pause_over (gpointer data)
{
  struct caller *caller = data;

  caller->active--;
  if (wants_more (caller))
    send_one (caller);
  else if (caller->active == 0)
    g_main_loop_quit (caller->loop);
  return G_SOURCE_REMOVE;
}

/* Send the next request, after the pause, or end the run.  */
static void
send_next (struct caller *caller)
{
  if (wants_more (caller) && caller->settings->pause_usec > 0)
    {
      caller->active++;
      g_timeout_add ((guint)(caller->settings->pause_usec / 1000),
                     on_pause_over, caller);
    }
  else if (wants_more (caller))
    send_one (caller);
  else if (caller->active == 0)
    g_main_loop_quit (caller->loop);
}

/* End the requests that take too long.  */
static gboolean
on_timer (gpointer data)
{
  struct caller *caller = data;

  http_expire (&caller->http, g_get_monotonic_time ());
  return G_SOURCE_CONTINUE;
}

/* Send requests as SETTINGS say and add what comes of them to TOTALS.  */
void
caller_run (const struct caller_settings *settings,
            struct caller_totals *totals)
{
  struct caller caller = { .settings = settings, .totals = totals };
  guint timer;
  guint32 i;

  memset (totals, 0, sizeof *totals);
  totals->usec = g_array_new (FALSE, FALSE, sizeof (gint64));
  caller.loop = g_main_loop_new (NULL, FALSE);
  caller.rand = g_rand_new_with_seed ((guint32)settings->seed);
  caller.run = ((guint64)g_random_int () << 32) | g_random_int ();
  http_init (&caller.http);
  timer = g_timeout_add (20, on_timer, &caller);
  for (i = 0; i < settings->parallel && wants_more (&caller); i++)
    send_one (&caller);
  if (caller.active > 0)
    g_main_loop_run (caller.loop);
  g_source_remove (timer);
  http_clear (&caller.http);
  g_rand_free (caller.rand);
  g_main_loop_unref (caller.loop);
}

/* Compare two times.  */
static gint
compare_usec (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;

  return left < right ? -1 : left > right;
}

/* The time within which SHARE (0 to 1) of the whole answers came, in
   microseconds; 0 if there are none.  */
gint64
caller_percentile (const struct caller_totals *totals, double share)
{
  guint at;

  if (totals->usec->len == 0)
    return 0;
  g_array_sort (totals->usec, compare_usec);
  at = (guint)(share * (totals->usec->len - 1));
  return g_array_index (totals->usec, gint64, at);
}
