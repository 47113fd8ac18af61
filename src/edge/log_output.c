#include "edge/log_output.h"

#include <fcntl.h>
#include <glib-unix.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_BYTES_MAX 262144u /* more buffered lines are dropped */

/* Write buffered lines until the descriptor would block.  */
static void
flush_buffer (struct log_output *output)
{
  gsize done = 0;

  while (done < output->buffer->len)
    {
      ssize_t written = write (output->fd, output->buffer->data + done,
                               output->buffer->len - done);
      if (written <= 0)
        break;
      done += (gsize)written;
    }
  if (done > 0)
    g_byte_array_remove_range (output->buffer, 0, (guint)done);
}

/* Write buffered lines when the descriptor is writable.  */
static gboolean
on_writable (gint fd, GIOCondition condition, gpointer data)
{
  struct log_output *output = data;

  (void)fd;
  (void)condition;
  flush_buffer (output);
  if (output->buffer->len > 0)
    return G_SOURCE_CONTINUE;
  output->write_watch = 0;
  return G_SOURCE_REMOVE;
}

/* Initialize an output to FD, which is made non-blocking.  */
void
log_output_init (struct log_output *output, int fd)
{
  int flags = fcntl (fd, F_GETFL);

  memset (output, 0, sizeof *output);
  output->fd = fd;
  output->buffer = g_byte_array_new ();
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

/* Write as much of the buffer as does not block, and release OUTPUT.  */
void
log_output_clear (struct log_output *output)
{
  if (output->buffer == NULL)
    return;
  flush_buffer (output);
  if (output->write_watch != 0)
    g_source_remove (output->write_watch);
  g_byte_array_unref (output->buffer);
  output->buffer = NULL;
}

/* Queue LINE, given without a newline.  The line is dropped and counted if the
   buffer is full.  */
void
log_output_line (struct log_output *output, const char *line)
{
  gsize length = strlen (line);

  if (output->buffer == NULL)
    return;
  if (output->buffer->len + length + 1 > BUFFER_BYTES_MAX)
    {
      output->dropped_lines++;
      return;
    }
  g_byte_array_append (output->buffer, (const guint8 *)line, (guint)length);
  g_byte_array_append (output->buffer, (const guint8 *)"\n", 1);
  if (output->write_watch == 0)
    output->write_watch
        = g_unix_fd_add (output->fd, G_IO_OUT, on_writable, output);
}
