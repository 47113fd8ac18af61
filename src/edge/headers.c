#include "edge/headers.h"

#include <string.h>

/* Headers that are not forwarded: hop-by-hop headers, and those of the
   project's own headers that each node sets itself.  */
static const char *const unforwarded_headers[]
    = { "Connection",   "Keep-Alive",        "Proxy-Connection",
        "Upgrade",      "Transfer-Encoding", "TE",
        "Trailer",      "Content-Length",    "Host",
        "Expect",       HEADER_FENCE,        HEADER_SLICE,
        HEADER_ATTEMPT, HEADER_LEASE,        HEADER_OUTCOME,
        HEADER_REASON,  HEADER_STAMP,        HEADER_TIMEOUT,
        HEADER_KEY };

/* Return TRUE if the header NAME is not forwarded.  */
static gboolean
is_unforwarded (const char *name)
{
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (unforwarded_headers); i++)
    if (g_ascii_strcasecmp (name, unforwarded_headers[i]) == 0)
      return TRUE;
  return FALSE;
}

/* Return a copy of the headers FROM without those that are not forwarded.  */
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
    if (!is_unforwarded (name))
      soup_message_headers_append (to, name, value);
  return to;
}

/* Set the header NAME to the number VALUE.  */
void
headers_set_number (SoupMessageHeaders *headers, const char *name,
                    gint64 value)
{
  char *text = g_strdup_printf ("%" G_GINT64_FORMAT, value);

  soup_message_headers_replace (headers, name, text);
  g_free (text);
}

/* Format headers as lines that end with CR LF.  Free the text with g_free.  */
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

/* Parse headers from lines of TEXT; lines that are no headers are skipped.  */
SoupMessageHeaders *
headers_parse (const char *text)
{
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_MULTIPART);
  char *with_start_line = g_strconcat ("\r\n", text, NULL);

  if (text[0] != '\0')
    soup_headers_parse (with_start_line, (int)strlen (with_start_line),
                        headers);
  g_free (with_start_line);
  return headers;
}

/* Format STAMP as CLOCK_INCARNATION/TIME_USEC/OFFSET.TAKEOVER_COUNT.  Free the
   text with g_free.  */
char *
headers_format_stamp (struct stamp stamp)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT "/%" G_GINT64_FORMAT
                          "/%" G_GUINT64_FORMAT ".%u",
                          stamp.clock_incarnation, stamp.time_usec,
                          stamp.fence.offset, stamp.fence.takeover_count);
}

/* Parse the stamp in TEXT; FALSE if TEXT is not a stamp.  */
gboolean
headers_parse_stamp (const char *text, struct stamp *stamp)
{
  char **parts = g_strsplit (text, "/", 3);
  gboolean is_valid = g_strv_length (parts) == 3;
  char *end = NULL;

  if (is_valid)
    {
      stamp->clock_incarnation = g_ascii_strtoull (parts[0], &end, 10);
      is_valid = end != parts[0] && *end == '\0';
      stamp->time_usec = g_ascii_strtoll (parts[1], &end, 10);
      is_valid = is_valid && end != parts[1] && *end == '\0'
                 && stamp->time_usec > 0
                 && fence_parse (parts[2], &stamp->fence);
    }
  g_strfreev (parts);
  return is_valid;
}
