#ifndef BAMBOOTALLY_LOG_OUTPUT_H
#define BAMBOOTALLY_LOG_OUTPUT_H

#include <glib.h>

/* Non-blocking output of log lines.  Lines are kept in a buffer of bounded
   size and written when the descriptor is writable, so that the main loop
   never waits for it; lines that exceed the buffer are dropped and
   counted.  */

struct log_output
{
  int fd;                /* descriptor that lines are written to */
  GByteArray *buffer;    /* lines not written yet */
  guint write_watch;     /* source id of the wait for writability, 0: none */
  guint64 dropped_lines; /* lines dropped because the buffer was full */
};

void log_output_init (struct log_output *output, int fd);
void log_output_clear (struct log_output *output);
void log_output_line (struct log_output *output, const char *line);

#endif
