#ifndef BAMBOOTALLY_BUFFER_H
#define BAMBOOTALLY_BUFFER_H

#include <glib.h>

/* Byte buffers that give their memory back.  A GByteArray keeps the memory of
   its longest content: 64 KiB for each connection that has once received or
   sent that much.  */

void buffer_clear (GByteArray *buffer);
void buffer_consume (GByteArray *buffer, gsize length);

#endif
