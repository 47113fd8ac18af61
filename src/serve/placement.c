#include "serve/placement.h"

#include <math.h>
#include <string.h>

/* Constants of the finalizer of SplitMix64.  */
#define MIX_STEP G_GUINT64_CONSTANT (0x9e3779b97f4a7c15)
#define MIX_FIRST G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9)
#define MIX_SECOND G_GUINT64_CONSTANT (0x94d049bb133111eb)

/* The upper bits of a random number that make up a fraction.  */
#define FRACTION_SHIFT 11
#define FRACTION_UNIT                                                         \
  (1.0 / 9007199254740992.0) /* two to the power of -53                       \
                              */

/* Return a random number for VALUE.  */
static guint64
mix (guint64 value)
{
  value += MIX_STEP;
  value = (value ^ (value >> 30)) * MIX_FIRST;
  value = (value ^ (value >> 27)) * MIX_SECOND;
  return value ^ (value >> 31);
}

/* Begin a draw.  Draws with the same SEED have the same result.  */
void
placement_init (struct server_placement *placement, guint64 seed)
{
  memset (placement, 0, sizeof *placement);
  placement->seed = mix (seed);
}

/* Return the draw of MEMBER with WEIGHT: an exponentially distributed random
   number.  That of a candidate is the lowest of all with a probability in
   proportion to its weight.  */
static gdouble
draw_of (const struct server_placement *placement, struct handle member,
         gdouble weight)
{
  guint64 bits = mix (placement->seed ^ member.bits);
  gdouble fraction = ((gdouble)(bits >> FRACTION_SHIFT) + 0.5) * FRACTION_UNIT;

  return -log (fraction) / weight;
}

/* Keep CHOICE among the *COUNT CHOICES if it is one of the MAX with the lowest
   draws.  */
static void
keep (struct placement_choice *choices, guint *count, guint max,
      struct placement_choice choice)
{
  guint worst = 0;
  guint i;

  if (*count < max)
    {
      choices[(*count)++] = choice;
      return;
    }
  for (i = 1; i < max; i++)
    if (choices[i].draw > choices[worst].draw)
      worst = i;
  if (choice.draw < choices[worst].draw)
    choices[worst] = choice;
}

/* Offer CANDIDATE to the draw.  WEIGHT must be greater than 0.  */
void
placement_offer (struct server_placement *placement,
                 const struct placement_candidate *candidate, gdouble weight)
{
  struct placement_choice choice
      = { *candidate, draw_of (placement, candidate->member, weight) };

  if (candidate->is_near)
    keep (placement->near, &placement->near_count, PLACEMENT_NEAR, choice);
  else
    keep (placement->far, &placement->far_count, PLACEMENT_FAR, choice);
}

/* Return the number of candidates to be compared.  */
guint
placement_count (const struct server_placement *placement)
{
  return placement->near_count + placement->far_count;
}

/* Return the candidate at INDEX of those to be compared.  */
const struct placement_candidate *
placement_at (const struct server_placement *placement, guint index)
{
  return index < placement->near_count
             ? &placement->near[index].candidate
             : &placement->far[index - placement->near_count].candidate;
}

/* Return a random number for MEMBER that does not depend on its draw.  */
guint32
placement_random (const struct server_placement *placement,
                  struct handle member)
{
  return (guint32)mix (mix (placement->seed) ^ member.bits);
}
