#include "serve/placement.h"

#include <string.h>

/* Constants of the finalizer of SplitMix64.  */
#define MIX_STEP G_GUINT64_CONSTANT (0x9e3779b97f4a7c15)
#define MIX_FIRST G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9)
#define MIX_SECOND G_GUINT64_CONSTANT (0x94d049bb133111eb)

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
placement_init (struct placement *placement, guint64 seed)
{
  memset (placement, 0, sizeof *placement);
  placement->seed = mix (seed);
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

/* Offer MEMBER, which is in the own data centre if IS_NEAR, to the draw.  */
void
placement_offer (struct placement *placement, struct handle member,
                 gboolean is_near)
{
  struct placement_choice choice
      = { member, mix (placement->seed ^ member.bits) };

  if (placement->offered_count < PLACEMENT_ALL)
    placement->all[placement->offered_count] = member;
  placement->offered_count++;
  if (is_near)
    keep (placement->near, &placement->near_count, PLACEMENT_NEAR, choice);
  else
    keep (placement->far, &placement->far_count, PLACEMENT_FAR, choice);
}

/* Return the number of members to be compared.  */
guint
placement_count (const struct placement *placement)
{
  if (placement->offered_count <= PLACEMENT_ALL)
    return placement->offered_count;
  return placement->near_count + placement->far_count;
}

/* Return the member at INDEX of those to be compared.  */
struct handle
placement_at (const struct placement *placement, guint index)
{
  if (placement->offered_count <= PLACEMENT_ALL)
    return placement->all[index];
  return index < placement->near_count
             ? placement->near[index].member
             : placement->far[index - placement->near_count].member;
}
