Feature: check that the modules that the pages mention exist

  Scenario: a page that names a module which was renamed is reported
    Guards against pages that send their readers to modules and names that
    no longer exist.

    Given a page that names a module, a renamed module and a removed name
    Then the renamed module and the removed name are reported
