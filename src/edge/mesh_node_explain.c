#include "edge/mesh_node.h"

#include "edge/exchange.h"
#include "edge/mesh_explain_json.h"
#include "types/clock.h"

/* Answers to operators who ask where a request would go.  */

#define DEADLINE_DEFAULT_MSEC 30000u /* of a request that names none */
#define KEY_MAX (SHARD_KEY_COUNT - 1u)

/* Read the number NAME of FORM, at most MAX, into VALUE, which keeps its value
   if FORM does not have it.  Return FALSE if it is malformed.  */
static gboolean
read_number (GHashTable *form, const char *name, guint base, guint64 max,
             guint64 *value)
{
  const char *text = g_hash_table_lookup (form, name);

  return text == NULL
         || g_ascii_string_to_unsigned (text, base, 0, max, value, NULL);
}

/* Explain as JSON where the request that FORM describes would go, or return
   NULL if FORM is malformed.  */
static char *
explain_form (const struct mesh *mesh, GHashTable *form)
{
  const char *method = g_hash_table_lookup (form, "method");
  struct mesh_explain_query query
      = { .host = g_hash_table_lookup (form, "host"),
          .target = g_hash_table_lookup (form, "target"),
          .method = method != NULL ? method : "GET",
          .key = "" };
  struct mesh_explanation explanation;
  guint64 deadline_msec = DEADLINE_DEFAULT_MSEC;
  guint64 body_bytes = 0;
  guint64 key = 0;
  gint64 now = clock_usec ();
  char key_text[KEY_SIZE];
  char *json;

  if (query.host == NULL || query.target == NULL)
    return NULL;
  if (!read_number (form, "key", 10, KEY_MAX, &key)
      || !read_number (form, "deadline-ms", 10, G_MAXUINT32, &deadline_msec)
      || !read_number (form, "body-bytes", 10, G_MAXUINT32, &body_bytes)
      || !read_number (form, "digest", 16, G_MAXUINT64, &query.digest))
    return NULL;
  if (g_hash_table_contains (form, "key"))
    {
      g_snprintf (key_text, sizeof key_text, "%" G_GUINT64_FORMAT, key);
      query.key = key_text;
      query.key_number = (guint32)key;
    }
  query.deadline = now + (gint64)deadline_msec * USEC_PER_MSEC;
  query.body_bytes = (gint64)body_bytes;
  mesh_explain (mesh, &query, now, &explanation);
  json = mesh_explain_json (&explanation);
  mesh_explanation_clear (&explanation);
  return json;
}

/* Explain as JSON what the node DATA would do now with the request that QUERY
   describes: host, target, and optionally method, key, deadline-ms, body-bytes
   and digest.  Return NULL if QUERY is malformed.  Free the text with
   g_free.  */
char *
mesh_node_explain (const char *query, gpointer data)
{
  const struct mesh_node *node = data;
  GHashTable *form = soup_form_decode (query);
  char *json = explain_form (&node->mesh, form);

  g_hash_table_destroy (form);
  return json;
}
