#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::batches
{

/// An owner answers reads this long after it sent a beacon that a copy has
/// echoed; four beacons fit into it.
inline constexpr core::milliseconds lease_duration{800};
/// A copy takes over after this silence of the owner. The margin over the
/// lease covers a beacon's way between regions and a slow wake-up.
inline constexpr core::milliseconds takeover_timeout{1200};
/// A copy that is silent this long gets a replacement.
inline constexpr core::milliseconds replacement_timeout{1200};
/// A new owner waits this long for the marks of copies that don't answer.
inline constexpr core::milliseconds reconcile_timeout{600};

} // namespace amaranthhatch::batches
