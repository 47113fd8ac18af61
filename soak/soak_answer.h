#ifndef SOAK_ANSWER_H
#define SOAK_ANSWER_H

#include <libsoup/soup.h>

/* The answers of the store stand-in.  RECORDS are GBytes: a byte with the
   length of the key, the key, and the value.  */

void soak_answer_json (SoupServerMessage *message, guint status, char *text);
void soak_answer_records (SoupServerMessage *message, const GPtrArray *records,
                          guint64 from);
void soak_answer_newest (SoupServerMessage *message, const GPtrArray *records);

#endif
