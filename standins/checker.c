#include "standins/checker.h"

#include <stdio.h>
#include <string.h>

/* What is known of the owner of one slice while lines are walked in order.  */
struct checker_owner
{
  struct fence newest_fence; /* newest fence seen */
  guint server_index;        /* server that had it */
  gint64 started_at;         /* when it began its first run under it */
};

/* Set up a checker that has read nothing.  */
void
checker_init (struct checker *checker)
{
  memset (checker, 0, sizeof *checker);
  checker->lines = g_array_new (FALSE, TRUE, sizeof (struct checker_line));
  checker->begin_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  checker->done_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Release what CHECKER holds.  */
void
checker_clear (struct checker *checker)
{
  g_array_free (checker->lines, TRUE);
  g_hash_table_destroy (checker->begin_counts);
  g_hash_table_destroy (checker->done_counts);
}

/* Reading */

/* Copy the value of NAME= in LINE to TO, an empty text if there is none.  */
static void
copy_value (const char *line, const char *name, char *to, gsize size)
{
  const char *at = strstr (line, name);
  gsize length;

  to[0] = '\0';
  if (at == NULL)
    return;
  at += strlen (name);
  length = strcspn (at, " \n");
  g_strlcpy (to, at, MIN (size, length + 1));
}

/* Count one more for ID.  */
static void
count_id (GHashTable *table, const char *id)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (table, id));

  g_hash_table_replace (table, g_strdup (id), GUINT_TO_POINTER (count + 1));
}

/* Take in one line of a server's record.  */
static void
take_line (struct checker *checker, const char *text)
{
  struct checker_line line = { .server_index = checker->server_count };
  char fence[32];

  if (sscanf (text, "%" G_GINT64_FORMAT " %15s", &line.logged_at, line.event)
      != 2)
    return;
  copy_value (text, " slice=", line.slice, sizeof line.slice);
  copy_value (text, " fence=", fence, sizeof fence);
  copy_value (text, " id=", line.request_id, sizeof line.request_id);
  if (fence[0] != '\0')
    fence_parse (fence, &line.fence);
  if (line.request_id[0] != '\0' && strcmp (line.event, "begin") == 0)
    count_id (checker->begin_counts, line.request_id);
  if (line.request_id[0] != '\0' && strcmp (line.event, "done") == 0)
    count_id (checker->done_counts, line.request_id);
  g_array_append_val (checker->lines, line);
}

/* Read FILE, what one server recorded.  */
gboolean
checker_read_record (struct checker *checker, const char *file)
{
  char *text = NULL;
  char **lines;
  guint i;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    return FALSE;
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    take_line (checker, lines[i]);
  checker->server_count++;
  g_strfreev (lines);
  g_free (text);
  return TRUE;
}

/* Check one line of a caller's output: the id, then how it ended.  */
static void
check_request (struct checker *checker, const char *line, gboolean once)
{
  char *id = g_strndup (line, strcspn (line, " "));
  guint begins
      = GPOINTER_TO_UINT (g_hash_table_lookup (checker->begin_counts, id));
  guint dones
      = GPOINTER_TO_UINT (g_hash_table_lookup (checker->done_counts, id));

  checker->request_count++;
  if (once && begins > 1)
    {
      checker->run_twice_count++;
      printf ("run twice: %s\n", id);
    }
  if (strstr (line, "\"outcome\":\"not-run\"") != NULL && begins > 0)
    {
      checker->ran_not_run_count++;
      printf ("not run, but ran: %s\n", line);
    }
  if (strstr (line, "status=200 error=none") != NULL && dones == 0)
    {
      checker->done_unrun_count++;
      printf ("done, but no server ran it: %s\n", line);
    }
  g_free (id);
}

/* Read FILE, what a caller printed about requests that may run once only
   (ONCE) or again.  The servers' records must have been read before.  */
gboolean
checker_read_caller (struct checker *checker, const char *file, gboolean once)
{
  char *text = NULL;
  char **lines;
  guint i;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    return FALSE;
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    if (strstr (lines[i], " status=") != NULL)
      check_request (checker, lines[i], once);
  g_strfreev (lines);
  g_free (text);
  return TRUE;
}

/* Owners */

/* Order lines by time.  */
static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const struct checker_line *left = a;
  const struct checker_line *right = b;

  return left->logged_at < right->logged_at
             ? -1
             : left->logged_at > right->logged_at;
}

/* A run began: its fence must not be older than any seen for the slice, and
   a fence belongs to one server.  */
static void
check_begin (struct checker *checker, GHashTable *owners,
             const struct checker_line *line)
{
  struct checker_owner *owner = g_hash_table_lookup (owners, line->slice);
  int order;

  if (owner == NULL)
    {
      owner = g_new0 (struct checker_owner, 1);
      g_hash_table_insert (owners, (gpointer)line->slice, owner);
      owner->server_index = line->server_index;
    }
  order = fence_compare (line->fence, owner->newest_fence);
  if (order < 0 || (order == 0 && line->server_index != owner->server_index))
    {
      checker->two_owners_count++;
      printf ("two owners: slice %s server %u fence %" G_GUINT64_FORMAT
              ".%u after server %u fence %" G_GUINT64_FORMAT ".%u\n",
              line->slice, line->server_index, line->fence.offset,
              line->fence.takeover_count, owner->server_index,
              owner->newest_fence.offset, owner->newest_fence.takeover_count);
      return;
    }
  if (order > 0 && line->server_index != owner->server_index)
    owner->started_at = line->logged_at;
  owner->server_index = line->server_index;
  owner->newest_fence = line->fence;
}

/* A run ended: no newer owner may have begun before.  */
static void
check_done (struct checker *checker, GHashTable *owners,
            const struct checker_line *line)
{
  const struct checker_owner *owner
      = g_hash_table_lookup (owners, line->slice);

  if (owner == NULL || owner->server_index == line->server_index
      || fence_compare (line->fence, owner->newest_fence) >= 0)
    return;
  checker->overlap_count++;
  printf ("overlap: slice %s server %u ended %" G_GINT64_FORMAT
          " us after server %u began\n",
          line->slice, line->server_index, line->logged_at - owner->started_at,
          owner->server_index);
}

/* Check that no slice had two owners at any moment.  */
void
checker_check_owners (struct checker *checker)
{
  GHashTable *owners
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  guint i;

  g_array_sort (checker->lines, compare_lines);
  for (i = 0; i < checker->lines->len; i++)
    {
      const struct checker_line *line
          = &g_array_index (checker->lines, struct checker_line, i);
      if (line->slice[0] == '\0')
        continue;
      if (strcmp (line->event, "begin") == 0)
        check_begin (checker, owners, line);
      else if (strcmp (line->event, "done") == 0)
        check_done (checker, owners, line);
    }
  g_hash_table_destroy (owners);
}

/* Tell whether nothing wrong was found.  */
gboolean
checker_passed (const struct checker *checker)
{
  return checker->two_owners_count + checker->overlap_count
             + checker->run_twice_count + checker->ran_not_run_count
             + checker->done_unrun_count
         == 0;
}
