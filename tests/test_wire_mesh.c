#include "wire/wire_mesh.h"

#include "tests/suite.h"
#include "wire/wire.h"

#include <string.h>

#define STAMPS_BYTES 16u /* of a pulse with one entry: two stamps */

/* A pulse with one entry, as bytes.  */
static GByteArray *
pulse_bytes (void)
{
  struct mesh_call call = { .kind = MESH_GOSSIP };
  struct gossip *gossip = &call.u.gossip;

  g_strlcpy (gossip->name, "a", sizeof gossip->name);
  gossip->incarnation = 7;
  gossip->applied_offset = 31;
  gossip->confirmed_age_usec = 1000;
  gossip->sequence = 12;
  gossip->report_count = 1;
  gossip->reports[0].incarnation = 8;
  gossip->reports[0].age_msec = 300;
  gossip->reports[0].sequence = 13;
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
  CU_ASSERT_EQUAL (back.u.gossip.sequence, 12);
  CU_ASSERT_EQUAL (back.u.gossip.applied_offset, 31);
  CU_ASSERT_EQUAL (back.u.gossip.reports[0].age_msec, 300);
  CU_ASSERT_EQUAL (back.u.gossip.reports[0].sequence, 13);
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
      CU_ASSERT_EQUAL (back.u.gossip.sequence, 0);
      CU_ASSERT_EQUAL (back.u.gossip.applied_offset, 31);
      CU_ASSERT_EQUAL (back.u.gossip.confirmed_age_usec, 1000);
      CU_ASSERT_EQUAL (back.u.gossip.reports[0].incarnation, 8);
      CU_ASSERT_EQUAL (back.u.gossip.reports[0].sequence, 0);
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
