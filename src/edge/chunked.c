#include "edge/chunked.h"

#include "edge/http_head.h"
#include "edge/http_line.h"

#include <string.h>

#define SIZE_LINE_MAX 1024u      /* bytes in a size line */
#define TRAILER_BYTES_MAX 65536u /* bytes in a trailer */

/* Initialize a decoder before the first chunk.  */
void
chunked_init (struct chunked *chunked)
{
  memset (chunked, 0, sizeof *chunked);
}

/* Return whether BYTES are an extension of a size line: a semicolon, perhaps
   behind spaces, and text.  */
static gboolean
is_extension (const guint8 *bytes, gsize length)
{
  gsize i = 0;

  while (i < length && (bytes[i] == ' ' || bytes[i] == '\t'))
    i++;
  if (i == length || bytes[i] != ';')
    return FALSE;
  for (; i < length; i++)
    if (g_ascii_iscntrl (bytes[i]) && bytes[i] != '\t')
      return FALSE;
  return TRUE;
}

/* Parse LINE, a size line of LENGTH bytes.  ERR_MALFORMED: it does not begin
   with a hexadecimal number that fits, or goes on with no extension.  */
static enum err
parse_size (const guint8 *line, gsize length, gint64 *size)
{
  gsize i;

  *size = 0;
  for (i = 0; i < length && g_ascii_isxdigit (line[i]); i++)
    {
      if (*size > G_MAXINT64 >> 4)
        return ERR_MALFORMED;
      *size = *size * 16 + g_ascii_xdigit_value ((char)line[i]);
    }
  if (i == 0 || (i < length && !is_extension (line + i, length - i)))
    return ERR_MALFORMED;
  return ERR_NONE;
}

/* Read the size line at BYTES, and set USED to its bytes.  */
static enum err
read_size (struct chunked *chunked, const guint8 *bytes, gsize count,
           gsize *used)
{
  gsize length;
  enum err code;

  if (count > 0 && !g_ascii_isxdigit (bytes[0]))
    return ERR_MALFORMED;
  code = http_line_find (bytes, count, SIZE_LINE_MAX, &length);
  if (code == ERR_NONE)
    code = parse_size (bytes, length, &chunked->remaining_bytes);
  if (code != ERR_NONE)
    return code;
  *used = length + HTTP_LINE_END_BYTES;
  chunked->state
      = chunked->remaining_bytes > 0 ? CHUNKED_DATA : CHUNKED_TRAILER;
  return ERR_NONE;
}

/* Read the line end behind the data of a chunk.  */
static enum err
read_data_end (struct chunked *chunked, const guint8 *bytes, gsize count,
               gsize *used)
{
  gsize length;
  enum err code = http_line_find (bytes, count, 1, &length);

  if (code != ERR_NONE && code != ERR_UNAVAILABLE)
    return ERR_MALFORMED;
  if (code == ERR_UNAVAILABLE)
    return count > 0 && bytes[0] != '\r' ? ERR_MALFORMED : code;
  if (length > 0)
    return ERR_MALFORMED;
  *used = HTTP_LINE_END_BYTES;
  chunked->state = CHUNKED_SIZE;
  return ERR_NONE;
}

/* Read a line behind the last chunk.  */
static enum err
read_trailer (struct chunked *chunked, const guint8 *bytes, gsize count,
              gsize *used)
{
  gsize length;
  enum err code = http_line_find (bytes, count, TRAILER_BYTES_MAX, &length);

  if (code != ERR_NONE)
    return code;
  if (length > 0 && !http_head_is_field (bytes, length))
    return ERR_MALFORMED;
  *used = length + HTTP_LINE_END_BYTES;
  chunked->trailer_bytes += *used;
  if (chunked->trailer_bytes > TRAILER_BYTES_MAX)
    return ERR_TOO_LARGE;
  if (length == 0)
    chunked->state = CHUNKED_COMPLETE;
  return ERR_NONE;
}

/* Take data of a chunk into PART.  */
static void
take_data (struct chunked *chunked, const guint8 *bytes, gsize count,
           struct chunked_part *part)
{
  part->data = bytes;
  part->data_count = (gsize)MIN (chunked->remaining_bytes, (gint64)count);
  part->used += part->data_count;
  chunked->remaining_bytes -= (gint64)part->data_count;
  if (chunked->remaining_bytes == 0)
    chunked->state = CHUNKED_DATA_END;
}

/* Decode COUNT bytes up to the end of the first data found in them, and fill
   in PART, also if more bytes are needed.  ERR_NONE: the body is complete;
   ERR_UNAVAILABLE: it is not; ERR_MALFORMED, ERR_TOO_LARGE: the bytes are not
   valid.  Call it again with the bytes that follow if PART has data.  */
enum err
chunked_read (struct chunked *chunked, const guint8 *bytes, gsize count,
              struct chunked_part *part)
{
  enum err code = ERR_NONE;

  memset (part, 0, sizeof *part);
  while (code == ERR_NONE)
    {
      const guint8 *next = bytes + part->used;
      gsize left = count - part->used;
      gsize used = 0;

      switch (chunked->state)
        {
        case CHUNKED_SIZE:
          code = read_size (chunked, next, left, &used);
          break;
        case CHUNKED_DATA:
          take_data (chunked, next, left, part);
          return ERR_UNAVAILABLE;
        case CHUNKED_DATA_END:
          code = read_data_end (chunked, next, left, &used);
          break;
        case CHUNKED_TRAILER:
          code = read_trailer (chunked, next, left, &used);
          break;
        case CHUNKED_COMPLETE:
          return ERR_NONE;
        }
      part->used += used;
    }
  return code;
}
