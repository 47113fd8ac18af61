#ifndef BAMBOOTALLY_JOURNAL_H
#define BAMBOOTALLY_JOURNAL_H

#include "edge/log_output.h"
#include "types/log_event.h"

/* The log of a process: numbered events through log4c, on standard error or
   through an output that does not block.  */

int journal_open (const char *level);
void journal_set_output (struct log_output *out);
guint64 journal_dropped_lines (void);
void journal_log_event (const struct log_event *log_event);
void journal_close (void);
char *journal_format (const struct log_event *log_event);

#endif
