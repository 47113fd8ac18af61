#include "wire/wire_record.h"

#include <stdio.h>

/* Encodes a record of the log and decodes it, whole and truncated.  */

int
main (void)
{
  struct record record = {
    .version = RECORD_VERSION, .kind = RECORD_REMOVED, .writer = 7, .serial = 1
  };
  struct record decoded;
  GByteArray *bytes;

  record.body.removed.incarnation = 9;
  record.body.removed.floor = 120;
  bytes = record_encode (&record);
  if (bytes == NULL)
    return 1;
  if (record_decode (&decoded, bytes->data, bytes->len) == ERR_NONE)
    printf ("%s in %u bytes: floor %" G_GUINT64_FORMAT "\n",
            record_kind_name (decoded.kind), bytes->len,
            decoded.body.removed.floor);
  printf ("truncated by one byte: %s\n",
          err_name (record_decode (&decoded, bytes->data, bytes->len - 1)));
  g_byte_array_unref (bytes);
  return 0;
}
