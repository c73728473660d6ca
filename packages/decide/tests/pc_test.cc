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
  std::vector<std::string> names, places;
  std::vector<pc_member> members;

  Vms (int data_centers, int each)
  {
    for (int d = 0; d < data_centers; d++)
      for (int i = 1; i <= each; i++)
        {
          places.push_back ("dc-" + std::to_string (d));
          names.push_back (places.back () + "-" + std::to_string (i));
        }
    for (size_t i = 0; i < names.size (); i++)
      members.push_back ({ { names[i].data (), names[i].size () },
                           { places[i].data (), places[i].size () },
                           0 });
  }
  static std::vector<pc_place>
  place_all (const std::vector<pc_member> &all)
  {
    std::vector<pc_place> found (all.size ());
    pc_place_all (all.data (), (uint32_t)all.size (), found.data ());
    return found;
  }
  std::map<uint64_t, std::vector<size_t>>
  cells () const
  {
    std::map<uint64_t, std::vector<size_t>> found;
    std::vector<pc_place> at = place_all (members);
    for (size_t i = 0; i < members.size (); i++)
      found[at[i].cell].push_back (i);
    return found;
  }
};

TEST (Pc, ASmallDeploymentIsOneCell)
{
  EXPECT_EQ (Vms (3, 3).cells ().size (), 1u);
  EXPECT_EQ (Vms (3, 3).cells ().begin ()->first, 0u);
}

// Guards against messages that grow with the square of the fleet.
TEST (Pc, CellsStaySmallAndWithinADataCentre)
{
  for (int each : { 6, 10, 24, 60, 155 })
    {
      Vms vms (11, each);
      for (auto &cell : vms.cells ())
        {
          EXPECT_NE (cell.first, 0u);
          EXPECT_LE (cell.second.size (), 2u * PC_CELL_MAX) << each;
          for (size_t i : cell.second)
            EXPECT_EQ (vms.places[i], vms.places[cell.second[0]]);
        }
    }
}

// Guards against a cell that nobody speaks for, or all do.
TEST (Pc, EachCellHasItsSpeakers)
{
  Vms vms (6, 10);
  std::vector<pc_place> at = Vms::place_all (vms.members);
  for (auto &cell : vms.cells ())
    {
      uint32_t speakers = 0;
      for (size_t i : cell.second)
        speakers += at[i].speaker;
      EXPECT_EQ (speakers, (uint32_t)PC_SPEAKERS);
    }
}

// Guards against VMs that disagree because they learned of the others in
// another order.
TEST (Pc, TheOrderOfTheMembersDoesNotMatter)
{
  Vms vms (6, 10);
  std::vector<pc_member> turned (vms.members.rbegin (), vms.members.rend ());
  std::vector<pc_place> at = Vms::place_all (vms.members);
  std::vector<pc_place> turned_at = Vms::place_all (turned);
  for (size_t i = 0; i < at.size (); i++)
    {
      const pc_place &other = turned_at[at.size () - 1 - i];
      EXPECT_EQ (at[i].cell, other.cell);
      EXPECT_EQ (at[i].speaker, other.speaker);
      EXPECT_EQ (at[i].active, other.active);
    }
}

TEST (Pc, NumberedNamesKeepTheirOrder)
{
  EXPECT_LT (pc_compare_names (ST_LIT ("a-2"), ST_LIT ("a-10")), 0);
  EXPECT_GT (pc_compare_names (ST_LIT ("a-2"), ST_LIT ("a-1")), 0);
  EXPECT_EQ (pc_compare_names (ST_LIT ("a-2"), ST_LIT ("a-2")), 0);
}
// Guards against callers at VMs of a large deployment that others could serve
// better.
TEST (Pc, LargeVmsTakeTheCallersOfALargeDeployment)
{
  Vms vms (3, 8);
  bool active[24];
  for (size_t i = 0; i < vms.members.size (); i++)
    vms.members[i].capacity = i % 8 == 3 || i % 8 == 6 ? 500 : 120;
  pc_choose_active (vms.members.data (), 24, active);
  for (size_t i = 0; i < 24; i++)
    EXPECT_EQ (active[i], i % 8 == 3 || i % 8 == 6) << i;
}

// Guards against too few VMs where all are alike, or none is known.
TEST (Pc, EqualVmsShareByPart)
{
  for (uint32_t capacity : { 0u, 250u })
    {
      Vms vms (2, 50);
      bool active[100];
      for (pc_member &m : vms.members)
        m.capacity = capacity;
      pc_choose_active (vms.members.data (), 100, active);
      for (int d = 0; d < 2; d++)
        EXPECT_EQ (std::count (active + 50 * d, active + 50 * d + 50, true),
                   (int)(50 * PC_ACTIVE_PART));
    }
}

// Guards against a data centre whose callers have nowhere to go when a large
// VM has ended.
TEST (Pc, TheNextLargestTakesOver)
{
  Vms vms (3, 8);
  bool active[24];
  vms.members[9].capacity = 4000;
  for (size_t i : { 10, 14 })
    vms.members[i].capacity = 300;
  pc_choose_active (vms.members.data (), 24, active);
  EXPECT_TRUE (active[9] && active[10]);
  EXPECT_FALSE (active[14]);
  vms.members.erase (vms.members.begin () + 9);
  pc_choose_active (vms.members.data (), 23, active);
  EXPECT_TRUE (active[9] && active[13]);
}

// Guards against what a VM sends growing with the fleet, and against reports
// that come late while slots that become free are waited for.
TEST (Pc, ReportsAreMoreFrequentWhileRequestsWait)
{
  EXPECT_EQ (pc_report_pause_us (1, false), pc_report_pause_us (1, true));
  EXPECT_EQ (2 * pc_report_pause_us (12, true),
             pc_report_pause_us (12, false));
  for (uint32_t told : { 60u, 600u })
    for (bool busy : { false, true })
      EXPECT_EQ (pc_report_pause_us (told, busy) / told,
                 pc_report_pause_us (60, busy) / 60);
}
} // namespace
