#include "pc.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{
struct Vms
{
  std::vector<std::string> names, data_centers_of;
  std::vector<pc_member> members;

  Vms (int data_centers, int each)
  {
    for (int d = 0; d < data_centers; d++)
      for (int i = 1; i <= each; i++)
        {
          data_centers_of.push_back ("dc-" + std::to_string (d));
          names.push_back (data_centers_of.back () + "-" + std::to_string (i));
        }
    for (size_t i = 0; i < names.size (); i++)
      members.push_back (
          { { names[i].data (), names[i].size () },
            { data_centers_of[i].data (), data_centers_of[i].size () },
            0 });
  }
  static std::vector<pc_role>
  assign_roles (const std::vector<pc_member> &all)
  {
    std::vector<pc_role> found (all.size ());
    pc_assign_roles (all.data (), (uint32_t)all.size (), 0, found.data ());
    return found;
  }
  std::map<uint64_t, std::vector<size_t>>
  groups () const
  {
    std::map<uint64_t, std::vector<size_t>> found;
    std::vector<pc_role> roles = assign_roles (members);
    for (size_t i = 0; i < members.size (); i++)
      found[roles[i].vm_group].push_back (i);
    return found;
  }
};

TEST (Pc, ASmallDeploymentIsOneGroup)
{
  EXPECT_EQ (Vms (3, 3).groups ().size (), 1u);
  EXPECT_EQ (Vms (3, 3).groups ().begin ()->first, 0u);
}

// Guards against a number of messages that grows with the square of the fleet.
TEST (Pc, GroupsStaySmallAndWithinADataCentre)
{
  for (int each : { 6, 10, 24, 60, 155 })
    {
      Vms vms (11, each);
      for (auto &group : vms.groups ())
        {
          EXPECT_NE (group.first, 0u);
          EXPECT_LE (group.second.size (), 2u * PC_GROUP_MAX) << each;
          for (size_t i : group.second)
            EXPECT_EQ (vms.data_centers_of[i],
                       vms.data_centers_of[group.second[0]]);
        }
    }
}

// Guards against a group in which no VM is an aggregator, or all are.
TEST (Pc, EachGroupHasItsAggregators)
{
  Vms vms (6, 10);
  std::vector<pc_role> roles = Vms::assign_roles (vms.members);
  for (auto &group : vms.groups ())
    {
      uint32_t aggregators = 0;
      for (size_t i : group.second)
        aggregators += roles[i].aggregator;
      EXPECT_EQ (aggregators, (uint32_t)PC_AGGREGATORS);
    }
}

// Guards against VMs that compute different roles because their member lists
// are in different order.
TEST (Pc, TheOrderOfTheMembersDoesNotMatter)
{
  Vms vms (6, 10);
  std::vector<pc_member> reversed (vms.members.rbegin (), vms.members.rend ());
  std::vector<pc_role> roles = Vms::assign_roles (vms.members);
  std::vector<pc_role> reversed_roles = Vms::assign_roles (reversed);
  for (size_t i = 0; i < roles.size (); i++)
    {
      const pc_role &other = reversed_roles[roles.size () - 1 - i];
      EXPECT_EQ (roles[i].vm_group, other.vm_group);
      EXPECT_EQ (roles[i].aggregator, other.aggregator);
      EXPECT_EQ (roles[i].active, other.active);
    }
}

TEST (Pc, NumberedNamesKeepTheirOrder)
{
  EXPECT_LT (pc_compare_names (ST_LIT ("a-2"), ST_LIT ("a-10")), 0);
  EXPECT_GT (pc_compare_names (ST_LIT ("a-2"), ST_LIT ("a-1")), 0);
  EXPECT_EQ (pc_compare_names (ST_LIT ("a-2"), ST_LIT ("a-2")), 0);
}
// Guards against small VMs of a large deployment accepting callers that larger
// ones could serve better.
TEST (Pc, LargeVmsAcceptTheCallersOfALargeDeployment)
{
  Vms vms (3, 8);
  bool active[24];
  for (size_t i = 0; i < vms.members.size (); i++)
    vms.members[i].capacity = i % 8 == 3 || i % 8 == 6 ? 500 : 120;
  pc_choose_active (vms.members.data (), 24, 0, active);
  for (size_t i = 0; i < 24; i++)
    EXPECT_EQ (active[i], i % 8 == 3 || i % 8 == 6) << i;
}

// Guards against too few active VMs where all capacities are equal, or none is
// known.
TEST (Pc, AFractionOfEqualVmsIsActive)
{
  for (uint32_t capacity : { 0u, 250u })
    {
      Vms vms (2, 50);
      bool active[100];
      for (pc_member &m : vms.members)
        m.capacity = capacity;
      pc_choose_active (vms.members.data (), 100, 0, active);
      for (int d = 0; d < 2; d++)
        EXPECT_EQ (std::count (active + 50 * d, active + 50 * d + 50, true),
                   (int)(50 * PC_ACTIVE_FRACTION));
    }
}

// Guards against a data centre without enough active VMs when a large one has
// ended.
TEST (Pc, TheNextLargestBecomesActive)
{
  Vms vms (3, 8);
  bool active[24];
  vms.members[9].capacity = 4000;
  for (size_t i : { 10, 14 })
    vms.members[i].capacity = 300;
  pc_choose_active (vms.members.data (), 24, 0, active);
  EXPECT_TRUE (active[9] && active[10]);
  EXPECT_FALSE (active[14]);
  vms.members.erase (vms.members.begin () + 9);
  pc_choose_active (vms.members.data (), 23, 0, active);
  EXPECT_TRUE (active[9] && active[13]);
}

// Guards against small VMs that become active only because the fleet grew, so
// that the same work is divided among more VMs with late reports.
TEST (Pc, MoreVmsDoNotMakeMoreOfThemActive)
{
  for (size_t each : { 10, 32, 64 })
    {
      Vms vms (6, (int)each);
      std::vector<char> active (vms.members.size ());
      for (size_t i = 0; i < vms.members.size (); i++)
        vms.members[i].capacity = i % each < 3 ? 500 : 120;
      pc_choose_active (vms.members.data (), (uint32_t)vms.members.size (),
                        pc_needed_capacity (621), (bool *)active.data ());
      EXPECT_EQ (std::count (active.begin (), active.end (), 1), 12) << each;
    }
}

// Guards against active VMs that are too few for the upstreams of a large
// deployment: the fraction of the capacity limits them, not a fixed number.
TEST (Pc, MoreSlotsMakeMoreVmsActive)
{
  Vms vms (6, 32);
  for (pc_member &m : vms.members)
    m.capacity = 500;
  bool active[192];
  for (auto &[slots, expected] :
       std::map<uint32_t, int>{ { 0, 78 }, { 1000, 18 }, { 60000, 78 } })
    {
      pc_choose_active (vms.members.data (), 192, pc_needed_capacity (slots),
                        active);
      EXPECT_EQ (std::count (active, active + 192, true), expected) << slots;
    }
}

// Guards against VMs that choose different active VMs because they differ by a
// few upstreams.
TEST (Pc, AFewSlotsDoNotChangeTheNeededCapacity)
{
  EXPECT_EQ (pc_needed_capacity (520), pc_needed_capacity (640));
  EXPECT_EQ (pc_needed_capacity (0), 0u);
}

// Guards against traffic of a VM that grows with the fleet, and against late
// reports while requests wait for freed slots.
TEST (Pc, ReportsAreMoreFrequentWhileRequestsWait)
{
  EXPECT_EQ (pc_report_interval_us (1, false),
             pc_report_interval_us (1, true));
  EXPECT_EQ (2 * pc_report_interval_us (12, true),
             pc_report_interval_us (12, false));
  for (uint32_t recipients : { 60u, 600u })
    for (bool busy : { false, true })
      EXPECT_EQ (pc_report_interval_us (recipients, busy) / recipients,
                 pc_report_interval_us (60, busy) / 60);
}
} // namespace
