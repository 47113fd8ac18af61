#include "wire/wire_mesh.h"

#include "tests/suite.h"
#include "wire/wire.h"

#include <string.h>

#define STAMPS_BYTES 16u /* of a pulse with one entry: two stamps */

/* A pulse with one entry, as bytes.  */
static GByteArray *
pulse_bytes (void)
{
  struct mesh_call call = { .kind = MESH_PULSE };
  struct pulse *pulse = &call.u.pulse;

  g_strlcpy (pulse->name, "a", sizeof pulse->name);
  pulse->incarnation = 7;
  pulse->folded = 31;
  pulse->confirmed_age = 1000;
  pulse->stamp = 12;
  pulse->news_count = 1;
  pulse->news[0].incarnation = 8;
  pulse->news[0].age_msec = 300;
  pulse->news[0].stamp = 13;
  return wire_encode (wire_mesh_call, &call, 65536);
}

/* A pulse comes as it was sent.  */
static void
test_pulse (void)
{
  GByteArray *bytes = pulse_bytes ();
  struct mesh_call back = { 0 };

  CU_ASSERT_EQUAL (
      wire_decode (wire_mesh_call, &back, bytes->data, bytes->len), ERR_NONE);
  CU_ASSERT_EQUAL (back.u.pulse.stamp, 12);
  CU_ASSERT_EQUAL (back.u.pulse.folded, 31);
  CU_ASSERT_EQUAL (back.u.pulse.news[0].age_msec, 300);
  CU_ASSERT_EQUAL (back.u.pulse.news[0].stamp, 13);
  g_byte_array_unref (bytes);
}

/* A pulse of a version that knows no stamps, which ends before them, is read
   as one without; nothing else in it is taken for another field.  */
static void
test_pulse_of_other_version (void)
{
  GByteArray *bytes = pulse_bytes ();
  guint cut;

  for (cut = 1; cut <= STAMPS_BYTES; cut++)
    {
      struct mesh_call back = { 0 };
      CU_ASSERT_EQUAL (
          wire_decode (wire_mesh_call, &back, bytes->data, bytes->len - cut),
          ERR_NONE);
      CU_ASSERT_EQUAL (back.u.pulse.stamp, 0);
      CU_ASSERT_EQUAL (back.u.pulse.folded, 31);
      CU_ASSERT_EQUAL (back.u.pulse.confirmed_age, 1000);
      CU_ASSERT_EQUAL (back.u.pulse.news[0].incarnation, 8);
      CU_ASSERT_EQUAL (back.u.pulse.news[0].stamp, 0);
    }
  for (; cut < bytes->len; cut++)
    {
      struct mesh_call back = { 0 };
      CU_ASSERT_EQUAL (
          wire_decode (wire_mesh_call, &back, bytes->data, bytes->len - cut),
          ERR_MALFORMED);
    }
  g_byte_array_unref (bytes);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "pulse", test_pulse },
          { "pulse of another version", test_pulse_of_other_version },
          CU_TEST_INFO_NULL };

  return suite_run ("wire_mesh", tests);
}
