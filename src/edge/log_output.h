#ifndef BAMBOOTALLY_LOG_OUTPUT_H
#define BAMBOOTALLY_LOG_OUTPUT_H

#include <glib.h>

/* Lines for standard output.  They are kept in a buffer of bounded size and
   written as the output takes them, so that nothing ever waits for it; lines
   that find no room are dropped and counted.  */

struct log_output
{
  int fd;                /* where lines go */
  GByteArray *buffer;    /* lines that wait */
  guint write_watch;     /* on room to write, 0: none */
  guint64 dropped_lines; /* lines that found no room */
};

void log_output_init (struct log_output *out, int fd);
void log_output_clear (struct log_output *out);
void log_output_line (struct log_output *out, const char *line);

#endif
