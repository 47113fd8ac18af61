#ifndef BAMBOOTALLY_STORE_OFFSET_H
#define BAMBOOTALLY_STORE_OFFSET_H

#include <glib.h>

/* Offsets of the store's topics with the era of the store, in one number that
   compares by era and then by offset.  The store begins a new era each time
   that it comes back from an older copy and gives offsets out again.  A store
   that names no era is in era 0, and its offsets are as they are.  */

#define STORE_ERA_SHIFT 40 /* bits of the offset within an era */
#define STORE_ERA_MAX G_GUINT64_CONSTANT (0xfffffe) /* highest era */

/* The fences of an era begin at its number times 2 to this power, so that they
   are above all fences of earlier eras, also of those that are lost.  */
#define STORE_ERA_FENCE_SHIFT 28

/* Return the number for OFFSET in ERA.  */
static inline guint64
store_offset_make (guint64 era, guint64 offset)
{
  return (era << STORE_ERA_SHIFT) | offset;
}

/* Return the era of OFFSET.  */
static inline guint64
store_offset_era (guint64 offset)
{
  return offset >> STORE_ERA_SHIFT;
}

/* Return OFFSET as the store counts it within its era.  */
static inline guint64
store_offset_raw (guint64 offset)
{
  return offset & ((G_GUINT64_CONSTANT (1) << STORE_ERA_SHIFT) - 1);
}

/* Return the lowest fence of ERA.  */
static inline guint64
store_era_first_fence (guint64 era)
{
  return era << STORE_ERA_FENCE_SHIFT;
}

#endif
