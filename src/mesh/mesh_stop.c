#include "mesh/mesh_parts.h"

/* The planned stop of a node.  All its times count from the request to stop
   and the time until the kill, the grace:

   - callers' requests are taken for STOP_TAKE_USEC, since callers notice only
     gradually that the node is not ready, and only while their answer can be
     expected before ANSWER_MARGIN_USEC ahead of the kill;
   - what other nodes send is run until callers' requests are done, at most
     until RUN_MARGIN_USEC ahead of the kill, and only if it can end in time;
   - at ANSWER_MARGIN_USEC ahead of the kill everything that is left is
     answered: as not run if it was not sent to a server, else as unknown;
   - the process ends when nothing is left, at most EXIT_MARGIN_USEC ahead of
     the kill.

   The last three are shorter if the grace is below SHORT_GRACE_USEC.  */

#define SHORT_GRACE_USEC ((gint64)6000000)

#define STOP_SERVE_USEC ((gint64)2600000)
#define STOP_TAKE_USEC ((gint64)2900000)
#define RUN_MARGIN_USEC ((gint64)2000000)
#define ANSWER_MARGIN_USEC ((gint64)800000)
#define EXIT_MARGIN_USEC ((gint64)500000)

/* A request is expected to end within this multiple of the mean time of its
   route.  */
#define EXPECTED_FACTOR 2

/* Return whether the process was asked to stop.  */
static gboolean
is_stopping (const struct mesh *mesh)
{
  return mesh->stop_requested_at != 0;
}

/* Return when the process will be killed.  */
static gint64
kill_time (const struct mesh *mesh)
{
  return mesh->stop_requested_at + mesh->settings.stop_grace_usec;
}

/* Return the time that is MARGIN_USEC ahead of the kill, or less if the grace
   is short.  */
static gint64
before_kill (const struct mesh *mesh, gint64 margin_usec)
{
  gint64 grace_usec = MIN (mesh->settings.stop_grace_usec, SHORT_GRACE_USEC);

  return kill_time (mesh) - margin_usec * grace_usec / SHORT_GRACE_USEC;
}

/* Return DEADLINE of a request that arrives, or, if the process stops, the
   time by which the request is answered if that is earlier.  */
gint64
mesh_stop_deadline (const struct mesh *mesh, gint64 deadline)
{
  return is_stopping (mesh)
             ? MIN (deadline, before_kill (mesh, ANSWER_MARGIN_USEC))
             : deadline;
}

/* Return whether work that takes MEAN_USEC on average can be expected to end
   before this process stops.  */
static gboolean
ends_in_time (const struct mesh *mesh, gint64 mean_usec, gint64 now)
{
  return now + EXPECTED_FACTOR * mean_usec
         <= before_kill (mesh, ANSWER_MARGIN_USEC);
}

/* Return whether a caller's request by the route ROUTE_NUMBER may be taken at
   NOW.  */
gboolean
mesh_stop_takes_request (const struct mesh *mesh, guint32 route_number,
                         gint64 now)
{
  return !is_stopping (mesh)
         || (now < mesh->stop_requested_at + STOP_TAKE_USEC
             && ends_in_time (
                 mesh, run_times_of_route (&mesh->answer_times, route_number),
                 now));
}

/* Return whether the local server may begin a request by the route
   ROUTE_NUMBER at NOW.  */
gboolean
mesh_stop_takes_run (const struct mesh *mesh, guint32 route_number, gint64 now)
{
  return !is_stopping (mesh)
         || ends_in_time (
             mesh, run_times_of_route (&mesh->run_times, route_number), now);
}

/* Return whether this process was asked to stop and sends no more requests to
   its server.  */
gboolean
mesh_is_quiesced (const struct mesh *mesh, gint64 now)
{
  struct handle h = table_next (&mesh->requests, HANDLE_NONE);

  if (!is_stopping (mesh) || now < mesh->stop_requested_at + STOP_SERVE_USEC)
    return FALSE;
  if (now >= before_kill (mesh, RUN_MARGIN_USEC))
    return TRUE;
  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    if (!((const struct mesh_request *)table_get (&mesh->requests, h))
             ->request.forwarded)
      return FALSE;
  return TRUE;
}

/* Begin to stop the process.  */
void
mesh_stop_begin (struct mesh *mesh, gint64 now, struct actions *out)
{
  if (is_stopping (mesh))
    return;
  mesh->stop_requested_at = now;
  mesh_duty_leave (mesh);
  mesh_log (out, LOG_EVENT_MESH_STOP, mesh->settings.name,
            "outcome=asked requests=%u", mesh->requests.count);
}

/* Answer the request EXCHANGE, which is not done yet, since the process
   ends.  */
static void
answer_at_end (struct mesh *mesh, struct handle exchange, gint64 now,
               struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);

  switch (request->phase)
    {
    case MESH_REQUEST_QUEUED:
      admission_remove (&mesh->admission, exchange);
      mesh_refuse (mesh, exchange, REASON_DRAINING, MESH_RESTART_USEC, now,
                   out);
      break;
    case MESH_REQUEST_WAITING:
      mesh_refuse (mesh, exchange, REASON_DRAINING, MESH_RESTART_USEC, now,
                   out);
      break;
    case MESH_REQUEST_RUNNING:
      admission_release (&mesh->admission);
      mesh_answer (mesh, exchange, OUTCOME_UNKNOWN, REASON_DRAINING, 0, now,
                   out);
      break;
    case MESH_REQUEST_SENT:
      mesh_answer (mesh, exchange, OUTCOME_UNKNOWN, REASON_DRAINING, 0, now,
                   out);
      break;
    }
}

/* Answer the requests that are left shortly before the kill.  */
static void
answer_rest (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->requests, HANDLE_NONE);

  if (now < before_kill (mesh, ANSWER_MARGIN_USEC))
    return;
  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    answer_at_end (mesh, h, now, out);
}

/* Return whether nothing is left to do at the tick EVENT.  Input that may
   still be handled in the same turn of the loop is something to do: a request
   that is read after the end was requested is lost.  An append whose result is
   not known would be a record that the next process has to wait for.  */
static gboolean
is_done (const struct mesh *mesh, const struct event_tick *event, gint64 now)
{
  return !event->input_may_follow && event->pending_exchanges == 0
         && mesh->requests.count == 0 && !mesh->proposal.is_pending
         && mesh_is_quiesced (mesh, now);
}

/* Take the steps of a stop that are due at the tick EVENT: end the process
   once nothing is left to do, or shortly before it would be killed.  */
void
mesh_stop_step (struct mesh *mesh, const struct event_tick *event, gint64 now,
                struct actions *out)
{
  if (!is_stopping (mesh))
    return;
  answer_rest (mesh, now, out);
  if (!is_done (mesh, event, now)
      && now < before_kill (mesh, EXIT_MARGIN_USEC))
    return;
  mesh->exit_requested = TRUE;
  mesh_log (out, LOG_EVENT_MESH_STOP, mesh->settings.name,
            "outcome=ended requests=%u", mesh->requests.count);
  actions_add (out, ACTION_EXIT);
}
