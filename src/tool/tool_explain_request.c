#include "tool/tool.h"

#include <json-glib/json-glib.h>
#include <stdio.h>

/* Where a node of a mesh would send a request: explain-request HOST TARGET. */

/* Returns the string in the member NAME of OBJECT, or an empty one.  */
static const char *
text_of (JsonObject *object, const char *name)
{
  return json_object_get_string_member_with_default (object, name, "");
}

/* Returns the number in the member NAME of OBJECT, or 0.  */
static gint64
number_of (JsonObject *object, const char *name)
{
  return json_object_get_int_member_with_default (object, name, 0);
}

/* Returns the flag in the member NAME of OBJECT.  */
static gboolean
flag_of (JsonObject *object, const char *name)
{
  return json_object_get_boolean_member_with_default (object, name, FALSE);
}

/* Returns the object in the member NAME of OBJECT, or NULL.  */
static JsonObject *
object_of (JsonObject *object, const char *name)
{
  return json_object_has_member (object, name)
             ? json_object_get_object_member (object, name)
             : NULL;
}

/* Prints an age of MSEC as the column NAME; a negative one is none.  */
static void
print_age (const char *name, gint64 msec)
{
  if (msec < 0)
    printf (" %s=never", name);
  else
    printf (" %s=%" G_GINT64_FORMAT "ms", name, msec);
}

/* Prints the outcome.  */
static void
print_outcome (JsonObject *root)
{
  printf ("outcome    %s", text_of (root, "outcome"));
  if (text_of (root, "to")[0] != '\0')
    printf (" %s %s",
            g_strcmp0 (text_of (root, "outcome"), "sent") == 0 ? "to" : "at",
            text_of (root, "to"));
  if (g_strcmp0 (text_of (root, "reason"), "none") != 0)
    printf (", %s", text_of (root, "reason"));
  if (number_of (root, "retry_after_ms") > 0)
    printf (", retry after %" G_GINT64_FORMAT " ms",
            number_of (root, "retry_after_ms"));
  printf ("\nconfig     version %" G_GINT64_FORMAT ",",
          number_of (root, "config"));
  print_age ("age", number_of (root, "config_ms"));
  printf ("\n");
}

/* Prints the route and the service.  */
static void
print_route (JsonObject *root)
{
  JsonObject *route = object_of (root, "route");

  if (route == NULL)
    {
      printf ("route      none matches\n");
      return;
    }
  printf ("route      %s: %s, priority %" G_GINT64_FORMAT
          ", %s, timeout %" G_GINT64_FORMAT " ms, target %" G_GINT64_FORMAT
          " ms\n",
          text_of (route, "name"), text_of (route, "path_prefix"),
          number_of (route, "priority"), text_of (route, "run_class"),
          number_of (route, "timeout_ms"), number_of (route, "target_ms"));
  printf ("service    %s, %s", text_of (root, "service"),
          flag_of (root, "is_sharded") ? "keyed" : "not keyed");
  if (!flag_of (root, "is_sharded"))
    printf (", %" G_GINT64_FORMAT " permille of its slots taken",
            number_of (root, "busy_permille"));
  printf ("\n");
}

/* Prints the shard of the key and its owner.  */
static void
print_shard (JsonObject *shard)
{
  printf ("shard      %" G_GINT64_FORMAT "-%" G_GINT64_FORMAT
          " %s, fence %" G_GINT64_FORMAT "\n",
          number_of (shard, "first"), number_of (shard, "last"),
          text_of (shard, "state"), number_of (shard, "fence"));
  printf ("owner      %s in %s, ", text_of (shard, "owner"),
          text_of (shard, "zone"));
  if (!flag_of (shard, "is_member"))
    printf ("not a member,");
  else if (g_strcmp0 (text_of (shard, "obstacle"), "none") != 0)
    printf ("%s,", text_of (shard, "obstacle"));
  else
    printf ("reachable,");
  if (flag_of (shard, "is_evacuated"))
    printf (" evacuated%s,", flag_of (shard, "serves_key")
                                 ? " but still serving its keys"
                                 : "");
  if (text_of (shard, "next_owner")[0] != '\0')
    printf (" next is %s,", text_of (shard, "next_owner"));
  if (flag_of (shard, "is_local"))
    printf (" this node");
  else
    print_age ("heard", number_of (shard, "heard_ms"));
  printf ("\n");
}

/* Prints one server that was considered.  */
static void
print_server (JsonArray *array, guint i, JsonNode *element, gpointer data)
{
  JsonObject *server = json_node_get_object (element);

  (void)array;
  (void)i;
  (void)data;
  printf ("server     %s in %s: %s", text_of (server, "name"),
          text_of (server, "zone"), text_of (server, "verdict"));
  if (json_object_has_member (server, "cost_ms"))
    printf (" cost=%" G_GINT64_FORMAT "ms", number_of (server, "cost_ms"));
  printf (" running=%" G_GINT64_FORMAT " waiting=%" G_GINT64_FORMAT
          " slots=%" G_GINT64_FORMAT " run=%" G_GINT64_FORMAT "ms",
          number_of (server, "running"), number_of (server, "waiting"),
          number_of (server, "slots"), number_of (server, "run_ms"));
  if (number_of (server, "failed_permille") > 0)
    printf (" failed=%" G_GINT64_FORMAT "permille",
            number_of (server, "failed_permille"));
  if (number_of (server, "cold_left_ms") > 0)
    printf (" cold=%" G_GINT64_FORMAT "ms",
            number_of (server, "cold_left_ms"));
  print_age ("load", number_of (server, "load_ms"));
  if (flag_of (server, "is_local"))
    printf (" this node");
  else
    print_age ("heard", number_of (server, "heard_ms"));
  printf ("\n");
}

/* Prints what admission to the local server would do.  */
static void
print_admission (JsonObject *admission)
{
  printf ("admission  %s", text_of (admission, "result"));
  if (g_strcmp0 (text_of (admission, "reason"), "none") != 0)
    printf (" %s", text_of (admission, "reason"));
  printf (" busy=%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
          " waiting=%" G_GINT64_FORMAT,
          number_of (admission, "busy"), number_of (admission, "slots"),
          number_of (admission, "waiting"));
  if (json_object_has_member (admission, "ahead"))
    printf (" ahead=%" G_GINT64_FORMAT " wait=%" G_GINT64_FORMAT
            "ms run=%" G_GINT64_FORMAT "ms",
            number_of (admission, "ahead"), number_of (admission, "wait_ms"),
            number_of (admission, "run_ms"));
  if (number_of (admission, "cold_left_ms") > 0)
    printf (" cold=%" G_GINT64_FORMAT "ms",
            number_of (admission, "cold_left_ms"));
  printf ("\n");
}

/* Prints TEXT, an explanation in JSON, as it is or for people.  */
static void
print_explanation (const struct tool *tool, const char *text)
{
  JsonParser *parser = json_parser_new ();
  JsonObject *root;

  if (tool->json_output || !json_parser_load_from_data (parser, text, -1, NULL)
      || !JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    printf ("%s\n", text);
  else
    {
      root = json_node_get_object (json_parser_get_root (parser));
      print_outcome (root);
      print_route (root);
      if (object_of (root, "shard") != NULL)
        print_shard (object_of (root, "shard"));
      if (json_object_has_member (root, "servers"))
        json_array_foreach_element (
            json_object_get_array_member (root, "servers"), print_server,
            NULL);
      if (object_of (root, "admission") != NULL)
        print_admission (object_of (root, "admission"));
    }
  g_object_unref (parser);
}

/* Appends the parameter NAME with VALUE to QUERY, unless VALUE is NULL.  */
static void
add_parameter (GString *query, const char *name, const char *value)
{
  char *escaped;

  if (value == NULL)
    return;
  escaped = g_uri_escape_string (value, NULL, FALSE);
  g_string_append_printf (query, "%s%s=%s",
                          strchr (query->str, '?') != NULL ? "&" : "?", name,
                          escaped);
  g_free (escaped);
}

/* Explains where a node of a mesh would send a request, and why:
   explain-request HOST TARGET.  */
int
tool_explain_request (const struct tool *tool)
{
  GString *target = g_string_new ("/explain");
  int status;

  add_parameter (target, "host", tool->args[1]);
  add_parameter (target, "target", tool->args[2]);
  add_parameter (target, "key", tool->key);
  add_parameter (target, "method", tool->method);
  add_parameter (target, "deadline-ms", tool->deadline_msec);
  add_parameter (target, "body-bytes", tool->body_bytes);
  status
      = tool_print_response_by (tool, "GET", target->str, print_explanation);
  g_string_free (target, TRUE);
  return status;
}
