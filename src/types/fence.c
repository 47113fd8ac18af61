#include "types/fence.h"

/* Compare A and B: negative, zero or positive as A is older, the same or
   newer.  */
int
fence_compare (struct fence a, struct fence b)
{
  if (a.offset != b.offset)
    return a.offset < b.offset ? -1 : 1;
  if (a.takeover_count != b.takeover_count)
    return a.takeover_count < b.takeover_count ? -1 : 1;
  return 0;
}

/* Read OFFSET.TAKEOVER from TEXT.  Return FALSE if it is anything else.  */
gboolean
fence_parse (const char *text, struct fence *fence)
{
  char *end = NULL;

  if (text == NULL || !g_ascii_isdigit (text[0]))
    return FALSE;
  fence->offset = g_ascii_strtoull (text, &end, 10);
  if (end[0] != '.' || !g_ascii_isdigit (end[1]))
    return FALSE;
  fence->takeover_count = (guint32)g_ascii_strtoull (end + 1, &end, 10);
  return *end == '\0';
}

/* Write FENCE as OFFSET.TAKEOVER; free the text with g_free.  */
char *
fence_format (struct fence fence)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT ".%u", fence.offset,
                          fence.takeover_count);
}
