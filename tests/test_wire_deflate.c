#include "tests/config_text.h"
#include "tests/suite.h"
#include "wire/wire_deflate.h"

#include <string.h>

/* Compression of long texts between nodes.  */

/* Return the first LENGTH bytes of TEXT after compression and decompression to
   PLAIN_LENGTH bytes, with the last CUT compressed bytes left out; NULL if
   they are not valid.  */
static GByteArray *
round_trip (const guint8 *text, gsize length, gsize plain_length, guint cut)
{
  GByteArray *deflated = wire_deflate (text, length);
  GByteArray *plain;

  CU_ASSERT_TRUE (deflated != NULL && deflated->len <= length);
  if (deflated == NULL)
    return NULL;
  plain = wire_inflate (deflated->data, deflated->len - cut, plain_length);
  g_byte_array_unref (deflated);
  return plain;
}

/* What comes out is what went in.  */
static void
test_round_trip (void)
{
  GString *text = config_text (1400);
  GByteArray *plain
      = round_trip ((const guint8 *)text->str, text->len, text->len, 0);

  CU_ASSERT_TRUE (plain != NULL && plain->len == text->len
                  && memcmp (plain->data, text->str, text->len) == 0);
  g_clear_pointer (&plain, g_byte_array_unref);
  g_string_free (text, TRUE);
}

/* Guards against memory taken by another node's bytes: they yield exactly the
   length that was stated, or nothing; so do bytes that are cut off, or none.
 */
static void
test_other_lengths (void)
{
  GString *text = config_text (100);
  const guint8 *bytes = (const guint8 *)text->str;

  CU_ASSERT_PTR_NULL (round_trip (bytes, text->len, text->len - 1, 0));
  CU_ASSERT_PTR_NULL (round_trip (bytes, text->len, text->len + 1, 0));
  CU_ASSERT_PTR_NULL (round_trip (bytes, text->len, 1, 0));
  CU_ASSERT_PTR_NULL (round_trip (bytes, text->len, text->len, 1));
  CU_ASSERT_PTR_NULL (wire_inflate (bytes, 0, text->len));
  CU_ASSERT_PTR_NULL (wire_inflate (bytes, text->len, text->len));
  g_string_free (text, TRUE);
}

/* Bytes that do not become shorter are sent as they are.  */
static void
test_no_gain (void)
{
  guint8 bytes[256];
  GRand *random = g_rand_new_with_seed (1);
  guint i;

  for (i = 0; i < sizeof bytes; i++)
    bytes[i] = (guint8)g_rand_int (random);
  CU_ASSERT_PTR_NULL (wire_deflate (bytes, sizeof bytes));
  CU_ASSERT_PTR_NULL (wire_deflate (bytes, 0));
  g_rand_free (random);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "round trip", test_round_trip },
                          { "other lengths", test_other_lengths },
                          { "no gain", test_no_gain },
                          CU_TEST_INFO_NULL };

  return suite_run ("wire_deflate", tests);
}
