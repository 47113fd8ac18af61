#include "edge/node.h"
#include "types/clock.h"

#include "decide/explain.h"
#include "edge/admin_state.h"
#include "edge/json.h"
#include "wire/wire_view.h"

#include <string.h>

/* The HTTP interface for operators and for the local backend server: status,
   counters, explanation of a key's owner, announcement and drain.  */

/* Answers */

/* Answer REQUEST with STATUS and TEXT of content type TYPE; takes ownership of
   TEXT.  */
static void
answer (struct node *node, struct handle request, guint status,
        const char *type, char *text)
{
  http_server_answer_text (&node->proxy.callers, request, status, type, text);
  g_free (text);
}

/* Answer REQUEST with STATUS and a JSON object that holds the name and the
   number of CODE.  */
static void
answer_error (struct node *node, struct handle request, guint status,
              enum err code)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_add_string (builder, "error", err_name (code));
  json_add_number (builder, "code", code);
  json_builder_end_object (builder);
  answer (node, request, status, "application/json", json_finish (builder));
}

/* Status */

/* Append the view's entry of one node, as a JSON object.  */
static void
add_node (JsonBuilder *builder, const struct view_node *node)
{
  static const char *const states[] = { "live", "leaving", "retired" };
  char *front = address_format (node->join.http_address);

  json_builder_begin_object (builder);
  json_add_incarnation (builder, "node", node->join.incarnation);
  json_add_string (builder, "host", node->join.host);
  json_add_string (builder, "front", front);
  json_add_string (builder, "zone", node->join.zone);
  json_add_string (builder, "service", node->join.service);
  json_add_string (builder, "server", node->join.server);
  json_add_string (builder, "state", states[node->state]);
  json_add_number (builder, "slices", node->owned_slice_count);
  json_add_number (builder, "witnesses", node->witness_count);
  json_add_number (builder, "joined", (gint64)node->join_offset);
  json_builder_end_object (builder);
  g_free (front);
}

/* Answer with the state of this node and the nodes that its view lists.  */
static void
answer_status (struct node *node, struct handle request)
{
  const struct core *core = &node->core;
  const struct view *view = &core->view;
  gint64 now = clock_usec ();
  JsonBuilder *builder = json_builder_new ();
  struct handle h = table_next (&view->nodes, HANDLE_NONE);

  json_builder_begin_object (builder);
  json_add_incarnation (builder, "node", core->settings.incarnation);
  json_add_string (builder, "host", core->settings.host);
  json_add_string (builder, "zone", core->settings.zone);
  json_add_number (builder, "next", (gint64)view->applied_offset);
  json_add_incarnation (builder, "digest", view_digest (view));
  json_add_number (builder, "snapshot", (gint64)view->snapshot_offset);
  json_add_number (builder, "unread", (gint64)view->unsupported_offset);
  json_add_number (builder, "config", (gint64)view->config_offset);
  json_add_boolean (builder, "config_in_force", view->has_config);
  json_add_boolean (builder, "joined", handle_is_set (core->self));
  json_add_boolean (builder, "log_up", !core->is_log_down);
  json_add_boolean (builder, "lease_held", lease_is_held (&core->lease, now));
  json_add_number (builder, "lease_left_ms",
                   MAX (0, core->lease.expires_at - now) / USEC_PER_MSEC);
  json_add_number (builder, "slots", core->admission.slots);
  json_add_number (builder, "busy", core->admission.busy_slots);
  json_add_number (builder, "queued", core->admission.queue->len);
  json_builder_set_member_name (builder, "nodes");
  json_builder_begin_array (builder);
  for (; handle_is_set (h); h = table_next (&view->nodes, h))
    add_node (builder, view_node_at (view, h));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  answer (node, request, SOUP_STATUS_OK, "application/json",
          json_finish (builder));
}

/* Explain */

/* Append the owner of a key, its successors, and the receiver if the key's
   slice is moving.  */
static void
add_owner (JsonBuilder *builder, const struct explanation *explanation)
{
  const struct record_join *join = &explanation->owner.join;
  char *front = address_format (join->http_address);
  guint i;

  json_add_string (builder, "server", join->server);
  json_add_string (builder, "host", join->host);
  json_add_string (builder, "zone", join->zone);
  json_add_incarnation (builder, "node", join->incarnation);
  json_add_string (builder, "front", front);
  json_add_number (builder, "since", (gint64)explanation->owner_offset);
  json_builder_set_member_name (builder, "successors");
  json_builder_begin_array (builder);
  for (i = 0; i < SUCCESSOR_MAX; i++)
    if (explanation->successors[i] != 0)
      {
        char text[17];
        g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x",
                    explanation->successors[i]);
        json_builder_add_string_value (builder, text);
      }
  json_builder_end_array (builder);
  if (explanation->cause == EXPLAIN_MOVING)
    {
      json_add_string (builder, "moving_to",
                       explanation->receiver.join.server);
      json_add_number (builder, "move", (gint64)explanation->move_offset);
    }
  g_free (front);
}

/* Answer which server owns the key in QUERY, and why.  */
static void
answer_explain (struct node *node, struct handle request, GHashTable *query)
{
  const char *service
      = query != NULL ? g_hash_table_lookup (query, "service") : NULL;
  const char *key = query != NULL ? g_hash_table_lookup (query, "key") : NULL;
  struct explanation explanation;
  JsonBuilder *builder;

  if (service == NULL || key == NULL || key[0] == '\0')
    {
      answer_error (node, request, SOUP_STATUS_BAD_REQUEST, ERR_INVALID);
      return;
    }
  if (explain_key (&node->core, service, key, clock_usec (), &explanation)
      != ERR_NONE)
    {
      answer_error (node, request, SOUP_STATUS_NOT_FOUND, ERR_NOT_FOUND);
      return;
    }
  builder = json_builder_new ();
  json_builder_begin_object (builder);
  json_add_string (builder, "service", service);
  json_add_string (builder, "key", key);
  json_add_string (builder, "why", explain_cause_name (explanation.cause));
  if (explanation.cause != EXPLAIN_UNSHARDED)
    {
      json_add_number (builder, "slice", explanation.slice);
      json_add_boolean (builder, "hot", explanation.is_hot);
    }
  if (explanation.cause == EXPLAIN_ASSIGNED
      || explanation.cause == EXPLAIN_MOVING)
    add_owner (builder, &explanation);
  json_builder_end_object (builder);
  answer (node, request, SOUP_STATUS_OK, "application/json",
          json_finish (builder));
}

/* Requests that change the node's state */

/* Register the local backend server, which announces its name, address and
   number of slots in QUERY.  */
static void
handle_announce (struct node *node, struct handle request, GHashTable *query)
{
  struct event event = { .kind = EVENT_SERVER_UP };
  const char *server
      = query != NULL ? g_hash_table_lookup (query, "server") : NULL;
  const char *address
      = query != NULL ? g_hash_table_lookup (query, "address") : NULL;
  const char *slots
      = query != NULL ? g_hash_table_lookup (query, "slots") : NULL;
  const char *checks_fences
      = query != NULL ? g_hash_table_lookup (query, "checks-fences") : NULL;

  if (server == NULL || address == NULL || slots == NULL
      || address_parse (address, &node->proxy.server_address) != ERR_NONE)
    {
      answer_error (node, request, SOUP_STATUS_BAD_REQUEST, ERR_INVALID);
      return;
    }
  g_strlcpy (event.u.server_up.server, server,
             sizeof event.u.server_up.server);
  event.u.server_up.slots = (guint32)g_ascii_strtoull (slots, NULL, 10);
  event.u.server_up.checks_fences
      = checks_fences != NULL && strcmp (checks_fences, "yes") == 0;
  node_handle_event (node, &event);
  answer (node, request, SOUP_STATUS_OK, "text/plain", g_strdup ("ok\n"));
}

/* Begin a graceful stop.  */
static void
handle_drain (struct node *node, struct handle request)
{
  struct event event = { .kind = EVENT_DRAIN };

  node_handle_event (node, &event);
  answer (node, request, SOUP_STATUS_ACCEPTED, "text/plain",
          g_strdup ("draining\n"));
}

/* Dispatch a request of an operator or of the local backend server.  PATH is
   given without the prefix /bambootally/.  */
void
admin_handle (struct node *node, const struct http_server_event *event,
              const char *path, GHashTable *query)
{
  struct handle request = event->request;
  gboolean post = strcmp (event->head->method, "POST") == 0;

  if (strcmp (path, "status") == 0)
    answer_status (node, request);
  else if (strcmp (path, "counters") == 0)
    answer (node, request, SOUP_STATUS_OK, "text/plain",
            counters_format (&node->proxy.counters));
  else if (strcmp (path, "explain") == 0)
    answer_explain (node, request, query);
  else if (strcmp (path, "config") == 0)
    admin_answer_config (node, request);
  else if (strcmp (path, "digest") == 0)
    admin_answer_digest (node, request);
  else if (strcmp (path, "announce") == 0 && post)
    handle_announce (node, request, query);
  else if (strcmp (path, "drain") == 0 && post)
    handle_drain (node, request);
  else
    answer_error (node, request, SOUP_STATUS_NOT_FOUND, ERR_NOT_FOUND);
}
