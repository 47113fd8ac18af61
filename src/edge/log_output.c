#include "edge/log_output.h"

#include <fcntl.h>
#include <glib-unix.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_BYTES_MAX 262144u /* bytes of lines that may wait */

/* Write what waits as far as the output takes it.  */
static void
write_some (struct log_output *out)
{
  gsize done = 0;

  while (done < out->buffer->len)
    {
      ssize_t put
          = write (out->fd, out->buffer->data + done, out->buffer->len - done);
      if (put <= 0)
        break;
      done += (gsize)put;
    }
  if (done > 0)
    g_byte_array_remove_range (out->buffer, 0, (guint)done);
}

/* The output takes more.  */
static gboolean
on_writable (gint fd, GIOCondition condition, gpointer data)
{
  struct log_output *out = data;

  (void)fd;
  (void)condition;
  write_some (out);
  if (out->buffer->len > 0)
    return G_SOURCE_CONTINUE;
  out->write_watch = 0;
  return G_SOURCE_REMOVE;
}

/* Write lines to FD, which does not block from now on.  */
void
log_output_init (struct log_output *out, int fd)
{
  int flags = fcntl (fd, F_GETFL);

  memset (out, 0, sizeof *out);
  out->fd = fd;
  out->buffer = g_byte_array_new ();
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

/* Write what can be written at once, and release the rest.  */
void
log_output_clear (struct log_output *out)
{
  if (out->buffer == NULL)
    return;
  write_some (out);
  if (out->write_watch != 0)
    g_source_remove (out->write_watch);
  g_byte_array_unref (out->buffer);
  out->buffer = NULL;
}

/* Add LINE, which has no end of line.  */
void
log_output_line (struct log_output *out, const char *line)
{
  gsize length = strlen (line);

  if (out->buffer == NULL)
    return;
  if (out->buffer->len + length + 1 > BUFFER_BYTES_MAX)
    {
      out->dropped_lines++;
      return;
    }
  g_byte_array_append (out->buffer, (const guint8 *)line, (guint)length);
  g_byte_array_append (out->buffer, (const guint8 *)"\n", 1);
  if (out->write_watch == 0)
    out->write_watch = g_unix_fd_add (out->fd, G_IO_OUT, on_writable, out);
}
