#include "soak/soak_topics.h"

#include "types/clock.h"

/* Initialize TOPICS without any.  */
void
soak_topics_init (struct soak_topics *topics)
{
  topics->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify)g_ptr_array_unref);
  topics->times = g_hash_table_new_full (NULL, NULL, NULL,
                                         (GDestroyNotify)g_array_unref);
}

/* Release what TOPICS holds.  */
void
soak_topics_clear (struct soak_topics *topics)
{
  g_hash_table_destroy (topics->times);
  g_hash_table_destroy (topics->records);
}

/* Return the records of the topic NAME, which is created if it does not
   exist.  */
GPtrArray *
soak_topics_records (struct soak_topics *topics, const char *name)
{
  GPtrArray *records = g_hash_table_lookup (topics->records, name);

  if (records == NULL)
    {
      records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
      g_hash_table_insert (topics->records, g_strdup (name), records);
      g_hash_table_insert (topics->times, records,
                           g_array_new (FALSE, FALSE, sizeof (gint64)));
    }
  return records;
}

/* Append RECORD, which is taken over, to RECORDS, those of a topic.  */
void
soak_topics_add (struct soak_topics *topics, GPtrArray *records,
                 GBytes *record)
{
  GArray *times = g_hash_table_lookup (topics->times, records);
  gint64 now = clock_usec ();

  g_ptr_array_add (records, record);
  g_array_append_val (times, now);
}

/* Drop the records that were appended after COPIED_AT.  */
void
soak_topics_roll_back (struct soak_topics *topics, gint64 copied_at)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, topics->times);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      GPtrArray *records = key;
      GArray *times = value;
      guint count = records->len;
      while (count > 0 && g_array_index (times, gint64, count - 1) > copied_at)
        count--;
      g_array_set_size (times, count);
      g_ptr_array_set_size (records, (gint)count);
    }
}
