#include "mesh/mesh_parts.h"

/* Greatest and initial retry budget of a node for one service, in thousandths
   of a retry.  All nodes may spend their budgets at the same time.  */
#define BUDGET_MAX_MILLI 3000u

/* Increase of the budget for each request of a caller, in thousandths of a
   retry.  The increase is well below the fifth of the requests that the
   platform allows, since a request that is run again makes its own calls
   again.  */
#define BUDGET_PER_REQUEST_MILLI 70u

/* Return the retry budget of SERVICE.  */
static struct retry_budget *
find_budget (struct mesh *mesh, const char *service)
{
  struct mesh_retry_budget fresh = { .budget.milli_left = BUDGET_MAX_MILLI };
  guint i;

  for (i = 0; i < mesh->retry_budgets->len; i++)
    {
      struct mesh_retry_budget *budget
          = &g_array_index (mesh->retry_budgets, struct mesh_retry_budget, i);
      if (strcmp (budget->service, service) == 0)
        return &budget->budget;
    }
  g_strlcpy (fresh.service, service, sizeof fresh.service);
  g_array_append_val (mesh->retry_budgets, fresh);
  return &g_array_index (mesh->retry_budgets, struct mesh_retry_budget,
                         mesh->retry_budgets->len - 1)
              .budget;
}

/* Add to the retry budget of SERVICE for a caller's request.  */
void
mesh_add_retry (struct mesh *mesh, const char *service)
{
  struct retry_budget *budget = find_budget (mesh, service);

  budget->milli_left
      = MIN (budget->milli_left + BUDGET_PER_REQUEST_MILLI, BUDGET_MAX_MILLI);
}

/* Take one retry of REQUEST, which may have reached a server, from the budget.
   Return FALSE if the budget is used up.  */
gboolean
mesh_spend_retry (struct mesh *mesh, const struct mesh_request *request)
{
  return retry_budget_spend (find_budget (mesh, request->request.service));
}
