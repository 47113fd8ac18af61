#include "soak/soak_answer.h"

#include <string.h>

/* Append NUMBER to BYTES in network order.  */
static void
add_u64 (GByteArray *bytes, guint64 number)
{
  guint64 big = GUINT64_TO_BE (number);

  g_byte_array_append (bytes, (const guint8 *)&big, sizeof big);
}

/* Answer MESSAGE with STATUS and BODY, which it takes over.  */
static void
respond (SoupServerMessage *message, guint status, GByteArray *body)
{
  gsize length = body->len;

  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (
      message, "application/octet-stream", SOUP_MEMORY_TAKE,
      (char *)g_byte_array_free (body, FALSE), length);
}

/* Answer MESSAGE with STATUS and TEXT, which it takes over.  */
void
soak_answer_json (SoupServerMessage *message, guint status, char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_TAKE, text, strlen (text));
}

/* Answer a read of RECORDS from FROM on.  */
void
soak_answer_records (SoupServerMessage *message, const GPtrArray *records,
                     guint64 from)
{
  GByteArray *body = g_byte_array_new ();
  guint64 i;

  add_u64 (body, records->len);
  add_u64 (body, 0);
  for (i = from; i < records->len; i++)
    {
      gsize length;
      const guint8 *bytes
          = g_bytes_get_data (g_ptr_array_index (records, i), &length);
      guint32 mark = GUINT32_TO_BE ((guint32)length);
      g_byte_array_append (body, (const guint8 *)&mark, sizeof mark);
      g_byte_array_append (body, bytes, (guint)length);
    }
  respond (message, SOUP_STATUS_OK, body);
}

/* Add the record at OFFSET to TEXT, unless it drops its key.  */
static void
add_item (GString *text, GBytes *record, guint offset)
{
  gsize length;
  const guint8 *bytes = g_bytes_get_data (record, &length);
  gsize key = bytes[0];
  char *value;

  if (length <= 1 + key)
    return;
  value = g_base64_encode (bytes + 1 + key, length - 1 - key);
  g_string_append_printf (
      text, "%s{\"key\":\"%.*s\",\"value\":\"%s\",\"offset\":%u}",
      text->str[text->len - 1] == '[' ? "" : ",", (int)key,
      (const char *)bytes + 1, value, offset);
  g_free (value);
}

/* Tell the newest record of each key of RECORDS.  */
void
soak_answer_newest (SoupServerMessage *message, const GPtrArray *records)
{
  GString *text = g_string_new ("{\"items\":[");
  guint i;
  guint k;

  for (i = 0; i < records->len; i++)
    {
      GBytes *record = g_ptr_array_index (records, i);
      const guint8 *key = g_bytes_get_data (record, NULL);
      gboolean newest = TRUE;
      for (k = i + 1; newest && k < records->len; k++)
        {
          const guint8 *other
              = g_bytes_get_data (g_ptr_array_index (records, k), NULL);
          newest = other[0] != key[0] || memcmp (other, key, key[0] + 1u) != 0;
        }
      if (newest)
        add_item (text, record, i);
    }
  g_string_append_printf (text, "],\"has-more\":false,\"end\":%u}",
                          records->len);
  soak_answer_json (message, SOUP_STATUS_OK, g_string_free (text, FALSE));
}
