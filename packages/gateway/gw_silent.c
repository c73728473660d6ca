/* Silent VMs: bounds what this VM admits while it does not hear of others.
   They may have ended, or be behind a partition and admit requests, which
   cannot be told apart.  Each side of a partition leaves the other one its
   part of the quotas.  */
#include "gw_internal.h"

/* A VM that has heard no report for this long hears nobody.  */
#define _GW_ISOLATED_US 1300000
/* Part of the quotas that all VMs on standby together may use while they hear
   nobody: the bounds of deployments allow a tenth beyond a quota, and the
   active VMs have the rest.  */
#define _GW_STANDBY_QUOTA_FRACTION 0.1
/* How long a VM that was declared dead counts as one behind a partition.  */
#define _GW_SILENT_MAX_US 20000000

typedef struct
{
  uint64_t key;
  st_name name;
  uint64_t since_us;
} _gw_silent;

/* An empty list of silent VMs.  */
GArray *
_gw_make_silent (void)
{
  return g_array_new (FALSE, TRUE, sizeof (_gw_silent));
}

static _gw_silent *
_gw_silent_at (const gw_task *gw, guint i)
{
  return &g_array_index (gw->silent, _gw_silent, i);
}

/* True when this VM, of a deployment of several groups, no longer hears any
   other VM.  Either it is cut off or all others have ended.  */
bool
_gw_is_isolated (const gw_task *gw)
{
  return gw->group.id != 0 && gw->heard_us != 0
         && ck_now_us (gw->desc.clock) - gw->heard_us > _GW_ISOLATED_US;
}

/* Leaves the VMs that are not heard their part of the quotas, as the fleet
   remembers them.  RETURNED: the change is a VM that reports again, with all
   that it has admitted meanwhile.  */
void
_gw_update_silent_part (gw_task *gw, bool returned)
{
  double part = ut_query_silent_part (gw->upstreams);
  double most = 1 - _GW_STANDBY_QUOTA_FRACTION / gw_query_vm_count (gw);
  if (part > most)
    part = most;
  /* A VM that has just become active does not hear the others yet.  */
  if (gw->group.active && gw->now_us - gw->active_us <= _GW_ISOLATED_US
      && part < gw->silent_part)
    part = gw->silent_part;
  if (part == gw->silent_part)
    return;
  LO_EVENT ("quota_parts", ST_LIT (""), LO_INT ("silent_percent", 100 * part),
            LO_INT ("before", 100 * gw->silent_part),
            LO_BOOL ("returned", returned),
            LO_BOOL ("active", gw->group.active),
            LO_INT ("active_vms", gw->group.active_count));
  gw->silent_part = part;
  for (guint i = 0; i < gw->teams->len; i++)
    bu_set_silent (&((_gw_team *)gw->teams->pdata[i])->quota, part, returned,
                   gw->now_us);
}

/* True when this VM hears the active one VM, which reports to it directly. One
   that has just become active is given time to report.  */
static bool
_gw_hears (gw_task *gw, const _gw_active_vm *vm)
{
  const _gw_peer *p = _gw_find_peer (gw, vm->key);
  if (vm->key == 0 || _gw_is_joining (gw))
    return true;
  if (p == NULL)
    return !gw->group.active || gw->now_us - gw->active_us <= _GW_ISOLATED_US;
  return gw->now_us - p->report_received_us <= _GW_ISOLATED_US;
}

/* Adopts which of the active VMs this one hears now.  Of those that do not
   report to it directly it is taken to hear the same part as of the others:
   membership finds out about each of many VMs only after seconds.  */
void
_gw_update_fleet (gw_task *gw)
{
  uint64_t heard[EL_VMS_MAX];
  uint32_t count = 0;
  uint32_t direct = 0;
  uint32_t others = 0;
  if (gw->peers == NULL)
    return; /* it runs alone and has all */
  for (guint i = 0; i < gw->active_vms->len && count < EL_VMS_MAX; i++)
    {
      const _gw_active_vm *vm
          = &g_array_index (gw->active_vms, _gw_active_vm, i);
      direct += vm->direct;
      if (vm->direct && _gw_hears (gw, vm))
        heard[count++] = vm->name;
    }
  uint32_t direct_heard = count;
  uint32_t indirect = gw->active_vms->len - direct;
  for (guint i = 0; i < gw->active_vms->len && count < EL_VMS_MAX; i++)
    {
      const _gw_active_vm *vm
          = &g_array_index (gw->active_vms, _gw_active_vm, i);
      if (!vm->direct
          && (direct == 0 || others++ * direct < indirect * direct_heard))
        heard[count++] = vm->name;
    }
  ut_set_cold_vms (gw->upstreams, gw->group.active, heard, count, gw->now_us);
  _gw_update_silent_part (gw, false);
}

/* True when the VM KEY is silent.  */
bool
_gw_is_silent (const gw_task *gw, uint64_t key)
{
  for (guint i = 0; i < gw->silent->len; i++)
    if (_gw_silent_at (gw, i)->key == key)
      return true;
  return false;
}

/* Counts the VM of P, which does not report any more, as silent.  */
void
_gw_add_silent (gw_task *gw, const _gw_peer *p)
{
  if (!_gw_shares_quotas (gw, p) || _gw_is_silent (gw, p->key))
    return;
  _gw_silent vm = { .key = p->key, .name = p->name, .since_us = gw->now_us };
  g_array_append_val (gw->silent, vm);
  for (guint i = 0; i < gw->teams->len; i++)
    bu_withhold_peer (&((_gw_team *)gw->teams->pdata[i])->quota, p->key);
  LO_EVENT ("quota_share_left", ST_LIT (""),
            LO_STR ("peer", st_name_str (&p->name)),
            LO_INT ("silent", gw->silent->len));
}

static void
_gw_remove_silent (gw_task *gw, guint i, bool returned)
{
  LO_EVENT ("quota_share_taken", ST_LIT (""),
            LO_STR ("peer", st_name_str (&_gw_silent_at (gw, i)->name)),
            LO_BOOL ("returned", returned),
            LO_INT ("after_ms", (gw->now_us - _gw_silent_at (gw, i)->since_us)
                                    / CK_MS_US));
  g_array_remove_index (gw->silent, i);
  if (returned)
    _gw_update_fleet (gw);
  _gw_update_silent_part (gw, returned);
}

/* The VM KEY reports again.  */
void
_gw_on_silent_returned (gw_task *gw, uint64_t key)
{
  for (guint i = 0; i < gw->silent->len; i++)
    if (_gw_silent_at (gw, i)->key == key)
      {
        _gw_remove_silent (gw, i, true);
        return;
      }
}

/* The process of the VM NAME that was silent has ended: it left, or another
   one has started.  */
void
_gw_on_silent_ended (gw_task *gw, st_str name)
{
  for (guint i = gw->silent->len; i > 0; i--)
    if (st_equal (st_name_str (&_gw_silent_at (gw, i - 1)->name), name))
      _gw_remove_silent (gw, i - 1, false);
}

/* Takes over the parts of VMs that have been silent for long.  */
void
_gw_expire_silent (gw_task *gw)
{
  for (guint i = gw->silent->len; i > 0; i--)
    if (gw->now_us - _gw_silent_at (gw, i - 1)->since_us > _GW_SILENT_MAX_US)
      _gw_remove_silent (gw, i - 1, false);
}
