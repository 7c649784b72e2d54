/// @file
/// @brief Dominant shares of organisations, and the order in which they receive capacity that is short.
///
/// They answer arrivals of which one organisation sends most: by deadline alone its burst takes all capacity, and the few jobs
/// of the others wait behind it.
#pragma once

#include <fleet/core/objective.hpp>
#include <fleet/core/tables.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fleet {

/// @brief Amounts by kind of resource, as shares of a service's capacity.
struct resource_shares {
    double processors = 0;
    double memory = 0;
    double accelerators = 0;

    auto operator<=>(const resource_shares&) const = default;

    resource_shares& operator+=(const resource_shares& other);
    resource_shares& operator*=(double factor);

    /// @brief The largest of the shares.
    [[nodiscard]] double dominant() const;
};

/// @brief Shares of @p part in @p whole. A kind of which there is none counts as 0.
[[nodiscard]] resource_shares sharesOf(const resources& part, const resources& whole);

/// @brief Recent use of capacity by organisations, in total over all services.
///
/// It decays with a time constant of averagingTime, so a new scheduler knows it up to a few hundredths after three times that.
class organisation_usage {
public:
    /// @brief Accounts for the time since the last call, during which the organisations used what they use now. The first call
    /// takes what is used now as the recent use.
    void advance(const std::map<std::string, resource_shares>& used, time_point now);

    /// @brief Mean of the present and the recent use, so that a burst is paid back.
    [[nodiscard]] double dominantShareOf(const std::string& organisation) const;

    /// @brief Organisations with a use above a negligible one.
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        resource_shares used;
        resource_shares recent;
    };

    std::map<std::string, entry> m_entries;
    std::optional<time_point> m_advancedAt;
};

/// @brief Capacity of all services' workers that may take work, by service.
[[nodiscard]] std::map<std::string, resources> capacityByService(const tables& state);

/// @brief What organisations use beyond their guarantees, as shares of the capacity of each service.
[[nodiscard]] std::map<std::string, resource_shares> usedByOrganisation(
    const tables& state, const std::map<std::string, resources>& capacity);

/// @brief Why the order of one service and priority followed the shares of organisations.
struct fair_order {
    std::string service;
    unsigned priority = 0;
    std::size_t organisations = 0; ///< With waiting work.
    std::size_t units = 0; ///< Waiting.
    std::string smallest; ///< Organisation with the smallest dominant share.
    double smallestShare = 0;
    std::string largest; ///< Organisation with the largest one.
    double largestShare = 0;
};

/// @brief Shares of the organisations that compete in one decision. They rise as units are placed, so that organisations take
/// turns.
class organisation_turns {
public:
    organisation_turns() = default;
    /// @brief Finds the services and priorities in which at least two organisations have work that does not all fit.
    organisation_turns(const std::vector<pending_unit>& pending, const tables& state, const organisation_usage& usage,
        std::map<std::string, resources> capacity);

    /// @brief Share of the unit's organisation in steps, within which deadlines decide. It is 0 without competition and for
    /// guaranteed work.
    [[nodiscard]] double shareStepOf(const pending_unit& unit, const tables& state) const;

    /// @brief Accounts for tasks of the job that were started.
    void addPlaced(const job_row& job, const resources& placed);

    [[nodiscard]] const std::vector<fair_order>& orders() const { return m_orders; }

private:
    std::map<std::string, resources> m_capacity; ///< By service.
    std::set<std::pair<std::string, unsigned>> m_contests; ///< Services and priorities.
    std::map<std::pair<std::string, std::string>, double> m_shares; ///< By service and organisation; of contests only.
    std::vector<fair_order> m_orders;
};

} // namespace fleet
