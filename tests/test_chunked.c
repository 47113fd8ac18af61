#include "edge/chunked.h"

#include "tests/suite.h"

#include <string.h>

/* The decoder of bodies in chunks.  */

/* Decode TEXT, given STEP bytes more each time, into BODY.  Return how it
   ended, and set USED to the bytes that were decoded.  */
static enum err
decode (const char *text, gsize step, GString *body, gsize *used)
{
  struct chunked chunked;
  struct chunked_part part;
  enum err code = ERR_UNAVAILABLE;
  gsize given = 0;

  chunked_init (&chunked);
  *used = 0;
  while (code == ERR_UNAVAILABLE && given < strlen (text))
    {
      given = MIN (given + step, strlen (text));
      do
        {
          code = chunked_read (&chunked, (const guint8 *)text + *used,
                               given - *used, &part);
          g_string_append_len (body, (const char *)part.data,
                               (gssize)part.data_count);
          *used += part.used;
        }
      while (code == ERR_UNAVAILABLE && part.data_count > 0);
    }
  return code;
}

/* Check that TEXT ends as CODE says, with BODY, in one read and byte by
   byte.  */
static void
check (const char *text, enum err code, const char *body)
{
  gsize step;

  for (step = 1; step <= strlen (text); step += MAX (1, strlen (text) - 1))
    {
      GString *decoded = g_string_new (NULL);
      gsize used;
      CU_ASSERT_EQUAL (decode (text, step, decoded, &used), code);
      CU_ASSERT_STRING_EQUAL (decoded->str, body);
      if (code == ERR_NONE)
        CU_ASSERT_EQUAL (used, strlen (text));
      g_string_free (decoded, TRUE);
    }
}

/* Proper bodies: sizes in both cases and with leading zeros, extensions,
   trailers.  */
static void
test_proper (void)
{
  check ("0\r\n\r\n", ERR_NONE, "");
  check ("5\r\nhello\r\n0\r\n\r\n", ERR_NONE, "hello");
  check ("A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n", ERR_NONE,
         "01234567890123456789");
  check ("0005\r\nhello\r\n000\r\n\r\n", ERR_NONE, "hello");
  check ("5;a=b\r\nhello\r\n2 ; q=\"x;y\"\r\nhi\r\n0;z\r\n\r\n", ERR_NONE,
         "hellohi");
  check ("2\r\n\r\n\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n", ERR_NONE, "\r\n");
}

/* What follows the end of the body is left.  */
static void
test_rest (void)
{
  static const char text[] = "2\r\nhi\r\n0\r\n\r\nGET / HTTP/1.1\r\n";
  GString *body = g_string_new (NULL);
  gsize used;

  CU_ASSERT_EQUAL (decode (text, sizeof text - 1, body, &used), ERR_NONE);
  CU_ASSERT_STRING_EQUAL (text + used, "GET / HTTP/1.1\r\n");
  g_string_free (body, TRUE);
}

/* A body without its last line is not complete.  */
static void
test_not_complete (void)
{
  check ("5\r\nhello\r\n", ERR_UNAVAILABLE, "hello");
  check ("5\r\nhello", ERR_UNAVAILABLE, "hello");
  check ("5\r\nhello\r\n0", ERR_UNAVAILABLE, "hello");
  check ("5\r\nhello\r\n0\r\n", ERR_UNAVAILABLE, "hello");
  check ("5\r\nhello\r\n0\r\nX-A: b\r\n", ERR_UNAVAILABLE, "hello");
}

/* Size lines, line ends and trailers that are not valid.  */
static void
test_not_valid (void)
{
  check ("zz\r\n", ERR_MALFORMED, "");
  check ("\r\n5\r\nhello", ERR_MALFORMED, "");
  check ("-5\r\nhello", ERR_MALFORMED, "");
  check ("+5\r\nhello", ERR_MALFORMED, "");
  check (" 5\r\nhello", ERR_MALFORMED, "");
  check ("0x5\r\nhello", ERR_MALFORMED, "");
  check ("5 \r\nhello", ERR_MALFORMED, "");
  check ("5 5\r\nhello", ERR_MALFORMED, "");
  check ("5\nhello\n0\n\n", ERR_MALFORMED, "");
  check ("5;a\rb\r\nhello", ERR_MALFORMED, "");
  check ("10000000000000005\r\nhello", ERR_MALFORMED, "");
  check ("8000000000000000\r\nhello", ERR_MALFORMED, "");
  check ("5\r\nhello!\r\n0\r\n\r\n", ERR_MALFORMED, "hello");
  check ("5\r\nhello0\r\n\r\n", ERR_MALFORMED, "hello");
  check ("5\r\nhello\n0\r\n\r\n", ERR_MALFORMED, "hello");
  check ("0\r\nno field\r\n\r\n", ERR_MALFORMED, "");
  check ("0\r\nX-A : b\r\n\r\n", ERR_MALFORMED, "");
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "proper body", test_proper },
                                 { "bytes behind the body", test_rest },
                                 { "body without its end", test_not_complete },
                                 { "body not valid", test_not_valid },
                                 CU_TEST_INFO_NULL };

  return suite_run ("chunked", tests);
}
