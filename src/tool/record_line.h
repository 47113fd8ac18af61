#ifndef BAMBOOTALLY_RECORD_LINE_H
#define BAMBOOTALLY_RECORD_LINE_H

#include "types/record.h"

char *record_line_json (guint64 offset, const struct record *record);
char *record_line_text (guint64 offset, const struct record *record);

#endif
