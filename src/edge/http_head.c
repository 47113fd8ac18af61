#include "edge/http_head.h"

#include "edge/http_line.h"

#include <string.h>

#define ABSOLUTE_PREFIX "http://" /* of a target with its authority */
#define STATUS_MIN 100u           /* lowest status of a response */
#define STATUS_MAX 599u           /* highest one */

/* Finding and checking */

/* Return whether CHARACTER may be part of a token (RFC 9110, section
   5.6.2).  */
static gboolean
is_token_character (guint8 character)
{
  return g_ascii_isalnum (character)
         || (character != '\0' && strchr ("!#$%&'*+-.^_`|~", character));
}

/* Return whether LINE, of LENGTH bytes without its line end, is a field: a
   name that is a token, a colon at once, and a value.  A line that continues
   the one before it is none.  */
gboolean
http_head_is_field (const guint8 *line, gsize length)
{
  gsize i = 0;

  while (i < length && is_token_character (line[i]))
    i++;
  return i > 0 && i < length && line[i] == ':';
}

/* Find the end of the head that begins at BYTES, and set LENGTH to its bytes,
   with the empty line.  ERR_UNAVAILABLE: more bytes are needed;
   ERR_MALFORMED: a line is not valid; ERR_TOO_LARGE: over HEAD_BYTES_MAX.  */
enum err
http_head_find_end (const guint8 *bytes, gsize count, gsize *length)
{
  gsize at = 0;

  do
    {
      gsize line_length;
      enum err code = http_line_find (bytes + at, count - at, HEAD_BYTES_MAX,
                                      &line_length);
      if (code != ERR_NONE)
        return code;
      if (at > 0 && line_length > 0
          && !http_head_is_field (bytes + at, line_length))
        return ERR_MALFORMED;
      at += line_length + HTTP_LINE_END_BYTES;
      if (line_length == 0)
        {
          *length = at;
          return ERR_NONE;
        }
    }
  while (at <= HEAD_BYTES_MAX);
  return ERR_TOO_LARGE;
}

/* Requests */

/* Return whether LINE, a request line of LENGTH bytes, is a token, a target
   and an HTTP/1 version, with one space between them.  */
static gboolean
is_request_line (const guint8 *line, gsize length)
{
  static const char version[] = " HTTP/1.";
  gsize version_at = length - strlen (version) - 1;
  gsize i = 0;

  if (length <= strlen (version) + 1
      || memcmp (line + version_at, version, strlen (version)) != 0
      || !g_ascii_isdigit (line[length - 1]))
    return FALSE;
  while (i < version_at && is_token_character (line[i]))
    i++;
  if (i == 0 || line[i] != ' ')
    return FALSE;
  for (i++; i < version_at; i++)
    if (line[i] <= ' ' || line[i] == 0x7f || line[i] == '#')
      return FALSE;
  return TRUE;
}

/* Return the number of Host fields in HEADERS, and set HOST to the value of
   the last one.  */
static guint
count_hosts (SoupMessageHeaders *headers, const char **host)
{
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;
  guint count = 0;

  soup_message_headers_iter_init (&iter, headers);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    if (g_ascii_strcasecmp (name, "Host") == 0)
      {
        count++;
        *host = value;
      }
  return count;
}

/* Check the Host field: one, but for an HTTP/1.0 client, which may send
   none.  */
static enum err
check_host (const struct http_request_head *head)
{
  const char *host = "";
  guint count = count_hosts (head->headers, &host);

  if (count > 1 || (count == 0 && !head->is_http_1_0)
      || strpbrk (host, "/?#@, \t") != NULL)
    return ERR_MALFORMED;
  return ERR_NONE;
}

/* Bring the target to the form path and query.  The authority of an absolute
   target replaces the Host field.  */
static enum err
normalize_target (struct http_request_head *head)
{
  const char *authority = head->target + strlen (ABSOLUTE_PREFIX);
  const char *path;
  char *host;
  char *target;

  if (head->target[0] == '/'
      || (strcmp (head->target, "*") == 0
          && strcmp (head->method, "OPTIONS") == 0))
    return ERR_NONE;
  if (g_ascii_strncasecmp (head->target, ABSOLUTE_PREFIX,
                           strlen (ABSOLUTE_PREFIX))
      != 0)
    return ERR_MALFORMED;
  path = authority + strcspn (authority, "/?");
  if (path == authority)
    return ERR_MALFORMED;
  host = g_strndup (authority, (gsize)(path - authority));
  target = g_strconcat (path[0] == '/' ? "" : "/", path, NULL);
  soup_message_headers_replace (head->headers, "Host", host);
  g_free (host);
  g_free (head->target);
  head->target = target;
  return ERR_NONE;
}

/* Parse the head of a request, of LENGTH bytes as found by
   http_head_find_end.  Release HEAD with http_head_clear, whatever is
   returned.  ERR_MALFORMED: it is not valid.  */
enum err
http_head_parse_request (const guint8 *bytes, gsize length,
                         struct http_request_head *head)
{
  const guint8 *line_end = memchr (bytes, '\r', length);
  SoupHTTPVersion version = SOUP_HTTP_1_1;
  enum err code;

  memset (head, 0, sizeof *head);
  head->headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  if (line_end == NULL || !is_request_line (bytes, (gsize)(line_end - bytes))
      || soup_headers_parse_request (
             (const char *)bytes, (int)(length - HTTP_LINE_END_BYTES),
             head->headers, &head->method, &head->target, &version)
             != SOUP_STATUS_OK)
    return ERR_MALFORMED;
  head->is_http_1_0 = version == SOUP_HTTP_1_0;
  code = check_host (head);
  return code == ERR_NONE ? normalize_target (head) : code;
}

/* Release what HEAD holds.  */
void
http_head_clear (struct http_request_head *head)
{
  g_clear_pointer (&head->method, g_free);
  g_clear_pointer (&head->target, g_free);
  g_clear_pointer (&head->headers, soup_message_headers_unref);
}

/* Responses */

/* Parse the head of a response, of LENGTH bytes as found by
   http_head_find_end, into HEADERS, VERSION and STATUS.  ERR_MALFORMED: it is
   not valid, or the status is outside 100 to 599 (RFC 9110, section 15).  */
enum err
http_head_parse_response (const guint8 *bytes, gsize length,
                          SoupMessageHeaders *headers,
                          SoupHTTPVersion *version, guint *status)
{
  if (!soup_headers_parse_response ((const char *)bytes,
                                    (int)(length - HTTP_LINE_END_BYTES),
                                    headers, version, status, NULL))
    return ERR_MALFORMED;
  return *status >= STATUS_MIN && *status <= STATUS_MAX ? ERR_NONE
                                                        : ERR_MALFORMED;
}
