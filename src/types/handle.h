#ifndef BAMBOOTALLY_HANDLE_H
#define BAMBOOTALLY_HANDLE_H

#include <glib.h>

/* A handle refers to a row of a table.  It is one 32-bit word: the low
   HANDLE_INDEX_BITS are the row's index, the others a generation that changes
   each time the row is reused, so that a stale handle finds nothing.  The
   value 0 is no handle.  */

#define HANDLE_INDEX_BITS 22u
#define HANDLE_INDEX_MASK ((1u << HANDLE_INDEX_BITS) - 1u)
#define HANDLE_GENERATION_MASK ((1u << (32u - HANDLE_INDEX_BITS)) - 1u)

struct handle
{
  guint32 bits; /* generation above index; 0: none */
};

#define HANDLE_NONE ((struct handle){ 0 })

/* Make a handle from the INDEX of a row and its GENERATION.  */
static inline struct handle
handle_make (guint32 index, guint32 generation)
{
  struct handle h = { (generation << HANDLE_INDEX_BITS) | index };
  return h;
}

/* Return the row index of H.  */
static inline guint32
handle_index (struct handle h)
{
  return h.bits & HANDLE_INDEX_MASK;
}

/* Return the generation of H.  */
static inline guint32
handle_generation (struct handle h)
{
  return h.bits >> HANDLE_INDEX_BITS;
}

/* Tell whether H is other than HANDLE_NONE.  The row of H may have been
   removed.  */
static inline gboolean
handle_is_set (struct handle h)
{
  return h.bits != 0;
}

/* Tell whether A and B are the same handle.  */
static inline gboolean
handle_equal (struct handle a, struct handle b)
{
  return a.bits == b.bits;
}

#endif
