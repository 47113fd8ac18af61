#include "wire/wire_forward.h"
#include "tests/suite.h"

#include <string.h>

/* What is opened on one node arrives whole on another.  */
static void
test_open_round_trip (void)
{
  struct forward_request open = { .stream = 7,
                                  .target_incarnation = 9,
                                  .method = (char *)"GET",
                                  .target = (char *)"/plans/1",
                                  .headers = (char *)"A: b\r\n",
                                  .body_length = -1,
                                  .is_last_chunk = TRUE };
  struct forward_request back = { 0 };
  GByteArray *bytes;

  g_strlcpy (open.request.service, "enquiry-desk",
             sizeof open.request.service);
  g_strlcpy (open.request.key, "1", sizeof open.request.key);
  open.request.run_class = RUN_ONCE;
  open.request.deadline = 1500000;
  open.fence.offset = 21;
  bytes = wire_encode (wire_forward_request, &open, 65536);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  if (bytes == NULL)
    return;
  CU_ASSERT_EQUAL (
      wire_decode (wire_forward_request, &back, bytes->data, bytes->len),
      ERR_NONE);
  CU_ASSERT_EQUAL (back.stream, 7);
  CU_ASSERT_EQUAL (back.body_length, -1);
  CU_ASSERT_EQUAL (back.request.run_class, RUN_ONCE);
  CU_ASSERT_EQUAL (back.fence.offset, 21);
  CU_ASSERT_STRING_EQUAL (back.request.service, "enquiry-desk");
  CU_ASSERT_STRING_EQUAL (back.headers, "A: b\r\n");
  CU_ASSERT_TRUE (back.is_last_chunk);
  xdr_free ((xdrproc_t)wire_forward_request, (char *)&back);
  g_byte_array_unref (bytes);
}

/* Bytes that are cut short do not decode, wherever they are cut.  */
static void
test_open_cut_short (void)
{
  struct forward_request open = { .method = (char *)"GET",
                                  .target = (char *)"/",
                                  .headers = (char *)"" };
  GByteArray *bytes = wire_encode (wire_forward_request, &open, 65536);
  guint length;

  for (length = 0; length < bytes->len; length++)
    {
      struct forward_request back = { 0 };
      CU_ASSERT_EQUAL (
          wire_decode (wire_forward_request, &back, bytes->data, length),
          ERR_MALFORMED);
    }
  g_byte_array_unref (bytes);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "open round trip", test_open_round_trip },
                                 { "open cut short", test_open_cut_short },
                                 CU_TEST_INFO_NULL };

  return suite_run ("wire_forward", tests);
}
