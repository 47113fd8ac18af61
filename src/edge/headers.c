#include "edge/headers.h"

#include <string.h>

/* Headers that concern one connection only, and the system's own.  */
static const char *const hop_headers[]
    = { "Connection",   "Keep-Alive",        "Proxy-Connection",
        "Upgrade",      "Transfer-Encoding", "TE",
        "Trailer",      "Content-Length",    "Host",
        "Expect",       HEADER_FENCE,        HEADER_SLICE,
        HEADER_ATTEMPT, HEADER_LEASE,        HEADER_OUTCOME,
        HEADER_REASON,  HEADER_STAMP,        HEADER_TIMEOUT,
        HEADER_KEY };

/* Tell whether NAME concerns one connection only.  */
static gboolean
is_hop_header (const char *name)
{
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (hop_headers); i++)
    if (g_ascii_strcasecmp (name, hop_headers[i]) == 0)
      return TRUE;
  return FALSE;
}

/* Copy the headers that are handed on from hop to hop.  */
SoupMessageHeaders *
headers_copy_end_to_end (SoupMessageHeaders *from)
{
  SoupMessageHeaders *to
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_MULTIPART);
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;

  soup_message_headers_iter_init (&iter, from);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    if (!is_hop_header (name))
      soup_message_headers_append (to, name, value);
  return to;
}

/* Set the header NAME to a number.  */
void
headers_set_number (SoupMessageHeaders *headers, const char *name,
                    gint64 value)
{
  char *text = g_strdup_printf ("%" G_GINT64_FORMAT, value);

  soup_message_headers_replace (headers, name, text);
  g_free (text);
}

/* Write headers as lines, each ended by CR LF; free the text with g_free.  */
char *
headers_format (SoupMessageHeaders *headers)
{
  GString *text = g_string_new (NULL);
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;

  soup_message_headers_iter_init (&iter, headers);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    g_string_append_printf (text, "%s: %s\r\n", name, value);
  return g_string_free (text, FALSE);
}

/* Read headers from lines; what is no header is passed over.  */
SoupMessageHeaders *
headers_parse (const char *text)
{
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_MULTIPART);
  char *with_start = g_strconcat ("\r\n", text, NULL);

  if (text[0] != '\0')
    soup_headers_parse (with_start, (int)strlen (with_start), headers);
  g_free (with_start);
  return headers;
}

/* Write STAMP as ERA/TIME/OFFSET.TAKEOVER; free the text with g_free.  */
char *
headers_format_stamp (struct stamp stamp)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT "/%" G_GINT64_FORMAT
                          "/%" G_GUINT64_FORMAT ".%u",
                          stamp.clock_incarnation, stamp.time_usec,
                          stamp.fence.offset, stamp.fence.takeover_count);
}

/* Read a stamp; FALSE if TEXT is anything else.  */
gboolean
headers_parse_stamp (const char *text, struct stamp *stamp)
{
  char **parts = g_strsplit (text, "/", 3);
  gboolean good = g_strv_length (parts) == 3;
  char *end = NULL;

  if (good)
    {
      stamp->clock_incarnation = g_ascii_strtoull (parts[0], &end, 10);
      good = end != parts[0] && *end == '\0';
      stamp->time_usec = g_ascii_strtoll (parts[1], &end, 10);
      good = good && end != parts[1] && *end == '\0' && stamp->time_usec > 0
             && fence_parse (parts[2], &stamp->fence);
    }
  g_strfreev (parts);
  return good;
}
